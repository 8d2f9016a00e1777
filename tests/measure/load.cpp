/// \file
/// Closed-loop load generator: each keep-alive connection sends one request
/// after another, optionally paced to a total rate. Prints one JSON line.

#include <algorithm>
#include <chrono>
#include <iostream>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <gflags/gflags.h>

#include "transport/runtime/asio_types.h"

DEFINE_int32(port, 0, "Port on 127.0.0.1");
DEFINE_string(path, "/", "Path of each request");
DEFINE_string(key, "", "Value of the header Peridot-Key; empty: no header");
DEFINE_int32(connections, 16, "Number of connections");
DEFINE_int32(seconds, 5, "Seconds that are measured");
DEFINE_int32(rate, 0, "Requests per second in total; 0: as fast as possible");

namespace peridot::measure {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using clock = std::chrono::steady_clock;

/// Time for opening connections before the measurement starts.
constexpr std::chrono::seconds WarmUp{1};

struct load_totals {
  clock::time_point From;
  clock::time_point Until;
  std::vector<std::int64_t> Microseconds;
  std::size_t Failures = 0;
};

std::string requestText() {
  std::string Text = "GET " + FLAGS_path + " HTTP/1.1\r\nHost: fleet\r\n";
  if (!FLAGS_key.empty())
    Text += "Peridot-Key: " + FLAGS_key + "\r\n";
  return Text + "\r\n";
}

/// Sends one request and reads the response. Returns whether its status is 200.
task<bool> callOnce(tcp_stream &Stream, boost::beast::flat_buffer &Buffer,
                    const std::string &Request) {
  auto [WriteError, Written] =
      co_await asio::async_write(Stream, asio::buffer(Request), UseTaskTuple);
  if (WriteError)
    co_return false;
  http::response<http::string_body> Response;
  auto [ReadError, Read] =
      co_await http::async_read(Stream, Buffer, Response, UseTaskTuple);
  co_return !ReadError && Response.result() == http::status::ok;
}

task<void> runConnection(asio::io_context &Loop, load_totals &Totals,
                         int Index) {
  const std::string Request = requestText();
  const auto Interval = FLAGS_rate == 0
                            ? clock::duration{0}
                            : clock::duration(std::chrono::seconds(1)) *
                                  FLAGS_connections / FLAGS_rate;
  tcp_stream Stream(Loop.get_executor());
  const asio::ip::tcp::endpoint Endpoint(
      asio::ip::make_address("127.0.0.1"),
      static_cast<std::uint16_t>(FLAGS_port));
  co_await Stream.async_connect(Endpoint, UseTaskTuple);
  boost::system::error_code Ignored;
  Stream.socket().set_option(asio::ip::tcp::no_delay(true), Ignored);
  boost::beast::flat_buffer Buffer;
  asio::steady_timer Timer(Loop);
  auto Next = clock::now() + Interval * Index / FLAGS_connections;
  while (clock::now() < Totals.Until) {
    if (Interval.count() > 0) {
      Timer.expires_at(Next);
      co_await Timer.async_wait(UseTaskTuple);
      Next += Interval;
    }
    const auto Start = clock::now();
    const bool Succeeded = co_await callOnce(Stream, Buffer, Request);
    const auto End = clock::now();
    if (!Succeeded) {
      ++Totals.Failures;
      co_return;
    }
    if (Start >= Totals.From && End <= Totals.Until)
      Totals.Microseconds.push_back(
          std::chrono::duration_cast<std::chrono::microseconds>(End - Start)
              .count());
  }
}

std::int64_t quantile(const std::vector<std::int64_t> &Sorted,
                      double Fraction) {
  if (Sorted.empty())
    return 0;
  const auto Index = static_cast<std::size_t>(
      Fraction * static_cast<double>(Sorted.size() - 1));
  return Sorted[Index];
}

void printTotals(load_totals &Totals) {
  auto &Latencies = Totals.Microseconds;
  std::ranges::sort(Latencies);
  std::cout << "{\"requests\":" << Latencies.size()
            << ",\"failures\":" << Totals.Failures << ",\"per_second\":"
            << Latencies.size() / static_cast<std::size_t>(FLAGS_seconds)
            << ",\"p50_us\":" << quantile(Latencies, 0.5)
            << ",\"p99_us\":" << quantile(Latencies, 0.99) << "}" << std::endl;
}

} // namespace peridot::measure

int main(int Argc, char **Argv) {
  using namespace peridot::measure;
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  asio::io_context Loop(1);
  load_totals Totals;
  Totals.From = clock::now() + WarmUp;
  Totals.Until = Totals.From + std::chrono::seconds(FLAGS_seconds);
  for (int Index = 0; Index < FLAGS_connections; ++Index)
    asio::co_spawn(Loop, runConnection(Loop, Totals, Index), asio::detached);
  Loop.run();
  printTotals(Totals);
  return Totals.Failures == 0 ? 0 : 1;
}
