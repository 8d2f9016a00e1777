/// \file
/// A target whose raw response bytes come from a test's script.
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

  /// Reads until \p Text was received; false if the connection ended first.
  bool readUntil(const std::string &Text);
  /// Reads until the peer closes the connection.
  void readToEnd();
  /// \returns false if the peer has closed the connection.
  bool send(const std::string &Bytes);
  /// Closes the sending side; the target reads no more either.
  void endSending();
  /// Closes the connection with a reset instead of its regular end.
  void reset();
  /// All bytes received so far.
  const std::string &received() const;

private:
  impl &Impl;
};

/// Listens on 127.0.0.1 and runs the script on a separate thread for each
/// connection; the connection closes when the script returns.
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
