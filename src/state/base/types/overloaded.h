/// \file
/// Visitor built from lambdas, for std::visit over our variants.
#pragma once

namespace peridot {

template <typename... Fs> struct overloaded : Fs... {
  using Fs::operator()...;
};
template <typename... Fs> overloaded(Fs...) -> overloaded<Fs...>;

} // namespace peridot
