/// \file
/// A target whose bytes a test writes itself.
#pragma once

#include <functional>
#include <memory>
#include <string>

namespace peridot::test {

/// One connection that the node opened to a scripted target.
class scripted_connection {
public:
  struct impl;
  explicit scripted_connection(impl &Impl) : Impl(Impl) {}

  /// Reads until \p Text has come; false when the connection ended first.
  bool readUntil(const std::string &Text);
  /// Reads until the other end closes.
  void readToEnd();
  void send(const std::string &Bytes);
  /// All that was received.
  const std::string &received() const;

private:
  impl &Impl;
};

/// Listens on 127.0.0.1 and runs the script for each connection on a thread of
/// its own; the connection closes when the script returns.
class scripted_target {
public:
  using script = std::function<void(scripted_connection &Connection)>;

  explicit scripted_target(script Script);
  ~scripted_target();

  std::uint16_t port() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace peridot::test
