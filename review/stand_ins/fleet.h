/// \file
/// Stand-ins for the platform's store, endpoints and clients, and the processes
/// of a small deployment. All of them run on loopback addresses.
#pragma once

#include <chrono>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json.hpp>

#include "transport/runtime/asio_types.h"

namespace peridot::review {

namespace json = boost::json;

using http_request =
    boost::beast::http::request<boost::beast::http::string_body>;
using http_response =
    boost::beast::http::response<boost::beast::http::string_body>;

/// Seconds since the start of this program.
double secondsNow();

/// Suspends the coroutine.
task<void> sleepFor(boost::asio::io_context &Loop, double Seconds);

/// Writes record.txt and a copy to standard output.
class recorder {
public:
  explicit recorder(const std::string &Path) : File(Path) {}
  void note(const std::string &Line);

private:
  std::ofstream File;
};

/// How the store treats one write of the system.
struct write_fate {
  bool IsAnswerLost = false;
  double DelaySeconds = 0; ///< Until the write is done.
};

/// The platform's metadata store, with the calls that peridotport uses.
class platform_store {
public:
  platform_store(boost::asio::io_context &Loop, recorder &Record)
      : Loop(Loop), Record(Record) {}

  void start(std::uint16_t Port);
  /// Writes an object as the operator or an endpoint does.
  void put(const std::string &Kind, const std::string &Name, json::value Spec);
  void remove(const std::string &Kind, const std::string &Name);
  std::size_t count(const std::string &Kind) { return Objects[Kind].size(); }

  /// Decides about each write of the system.
  std::function<write_fate(const std::string &Method, const std::string &Name)>
      JudgeWrite;
  /// Whether the store answers no call that it receives now.
  bool IsSilent = false;
  /// Whether the answer of a watch that has events is lost.
  std::function<bool(const std::string &Kind)> LosesWatchAnswer;

private:
  struct change {
    std::uint64_t Revision = 0;
    std::string Kind;
    json::value Event;
  };

  task<void> serve(tcp_stream Stream);
  task<std::optional<http_response>> answer(const http_request &Request);
  http_response list(const std::string &Kind);
  task<http_response> watch(const std::string &Kind, std::uint64_t After,
                            double WaitSeconds);
  http_response write(const http_request &Request, const std::string &Kind,
                      const std::string &Name);
  void store(const std::string &Kind, const std::string &Name,
             json::value Object, bool IsDeleted);

  boost::asio::io_context &Loop;
  recorder &Record;
  std::map<std::string, std::map<std::string, json::value>> Objects;
  std::deque<change> Changes;
  std::uint64_t Revision = 10;
};

/// One run of a request at an endpoint.
struct run {
  double At = 0;
  std::string RequestId;
  std::string Tenant;
  std::string Endpoint;
  double EndsAt = 0;
  bool IsCut = false; ///< The endpoint ended before it had answered.
};

/// One endpoint. All endpoints share the list of runs.
class endpoint {
public:
  endpoint(boost::asio::io_context &Loop, recorder &Record, std::string Id,
           std::string Service, double WorkSeconds, std::vector<run> &Runs)
      : Loop(Loop), Record(Record), Id(std::move(Id)),
        Service(std::move(Service)), WorkSeconds(WorkSeconds), Runs(Runs) {}

  void start(std::uint16_t ChosenPort);
  /// Ends the endpoint and closes its connections.
  void end();
  /// Sets whether the endpoint is full and rejects each request.
  void setFull(bool IsNowFull) { IsFull = IsNowFull; }
  /// Sets the work of requests whose id begins with "slow".
  void setSlowWork(double Seconds) { SlowWorkSeconds = Seconds; }
  /// Entry in the store, in kind `servers`.
  json::value entry(const std::string &Zone, const std::string &State) const;
  const std::string &id() const { return Id; }

private:
  task<void> serve(std::shared_ptr<tcp_stream> Stream);

  boost::asio::io_context &Loop;
  recorder &Record;
  std::string Id;
  std::string Service;
  double WorkSeconds;
  std::vector<run> &Runs;
  std::uint16_t Port = 0;
  std::shared_ptr<tcp_acceptor> Acceptor;
  std::vector<std::weak_ptr<tcp_stream>> Streams;
  bool HasEnded = false;
  bool IsFull = false;
  double SlowWorkSeconds = 0;
};

/// Ports that all VMs of a deployment use, each at its own address.
struct vm_ports {
  std::uint16_t Front = 0;
  std::uint16_t Readiness = 0;
  std::uint16_t Directory = 0;
  std::uint16_t Internal = 0; ///< First of 16 ports.
  std::uint16_t Store = 0;
  std::uint16_t Endpoints = 0; ///< First of 40 ports.
};

/// Finds ports that are free at all addresses.
vm_ports findPorts();

/// One machine that runs peridotport with the command of the deploy file.
class vm_process {
public:
  vm_process(std::string Name, std::string Zone, std::string Ip,
             const vm_ports &Ports, std::string Program,
             const std::string &Folder);
  ~vm_process();
  vm_process(const vm_process &) = delete;
  vm_process &operator=(const vm_process &) = delete;

  void start();
  void signal(int Signal) const;
  /// Kills the process and waits for its end.
  void kill();
  bool hasEnded();
  const std::string &name() const { return Name; }
  const std::string &zone() const { return Zone; }
  const std::string &ip() const { return Ip; }

private:
  std::string Name;
  std::string Zone;
  std::string Ip;
  std::string Program;
  std::string FlagFile;
  std::string LogFile;
  pid_t Pid = -1;
};

/// What a client sends.
struct client_request {
  std::string Method = "GET";
  std::string Path;
  std::string Key;
  std::string Id;
  unsigned DeadlineMs = 2'000;
  std::string Body;
};

/// What a client got; status 0: no answer.
struct client_answer {
  unsigned Status = 0;
  std::string Signature;
  std::string Body;
  std::string Error;
};

/// Sends one request on a new connection.
task<client_answer> sendRequest(boost::asio::io_context &Loop,
                                const std::string &Ip, std::uint16_t Port,
                                const client_request &Request);

/// Asks the directory of one VM; returns IP addresses, empty on failure.
task<std::vector<std::string>> resolve(boost::asio::io_context &Loop,
                                       const std::string &Ip,
                                       const vm_ports &Ports,
                                       const std::string &Zone);

/// Builds the operator's configuration.
struct tenant {
  std::string Name;
  double RatePerSecond = 0; ///< 0: no limit.
  double Burst = 0;
};

std::string keyOf(const tenant &Tenant);
json::value makeConfiguration(int Version, const std::vector<tenant> &Tenants);

} // namespace peridot::review
