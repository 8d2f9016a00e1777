/// \file
/// Combines lambdas into one visitor for std::visit.
#pragma once

namespace peridot {

template <typename... Fs> struct overloaded : Fs... {
  using Fs::operator()...;
};
template <typename... Fs> overloaded(Fs...) -> overloaded<Fs...>;

} // namespace peridot
