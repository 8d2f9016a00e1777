#include "fleet.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <iostream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/src.hpp>

namespace peridot::review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr double WatchPollSeconds = 0.005;
constexpr int PortsPerFleet = 64;

const auto Start = std::chrono::steady_clock::now();

std::chrono::nanoseconds toDuration(double Seconds) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double>(Seconds));
}

std::string toText(beast::string_view Text) { return std::string(Text); }

/// Returns the value of \p Name in the query of \p Target; empty if missing.
std::string queryValue(const std::string &Target, const std::string &Name) {
  const std::size_t Query = Target.find('?');
  std::istringstream Parts(
      Query == std::string::npos ? std::string() : Target.substr(Query + 1));
  for (std::string Part; std::getline(Parts, Part, '&');)
    if (Part.starts_with(Name + "="))
      return Part.substr(Name.size() + 1);
  return {};
}

http_response makeResponse(unsigned Status, const json::value &Body) {
  http_response Response(static_cast<http::status>(Status), 11);
  Response.set(http::field::content_type, "application/json");
  Response.body() = json::serialize(Body);
  Response.prepare_payload();
  return Response;
}

using server = std::function<task<void>(tcp_stream)>;

task<void> acceptAll(asio::io_context &Loop,
                     std::shared_ptr<tcp_acceptor> Acceptor, server Serve) {
  while (Acceptor->is_open()) {
    auto [Error, Socket] = co_await Acceptor->async_accept(UseTaskTuple);
    if (Error)
      continue;
    Socket.set_option(asio::ip::tcp::no_delay(true));
    asio::co_spawn(Loop, Serve(tcp_stream(std::move(Socket))), asio::detached);
  }
}

std::shared_ptr<tcp_acceptor> listenOn(asio::io_context &Loop,
                                       std::uint16_t Port) {
  return std::make_shared<tcp_acceptor>(
      Loop, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), Port));
}

bool isFree(const std::string &Ip, int Port) {
  asio::io_context Loop;
  boost::system::error_code Error;
  asio::ip::tcp::acceptor Acceptor(Loop);
  Acceptor.open(asio::ip::tcp::v4(), Error);
  Acceptor.bind({asio::ip::make_address(Ip), static_cast<std::uint16_t>(Port)},
                Error);
  return !Error;
}

json::value makeRoute(const std::string &Prefix, const char *Kind) {
  return {{"resource-kind", "routes"},
          {"metadata", {{"name", "r" + Prefix}}},
          {"spec",
           {{"host", "hulo84.example"},
            {"path-prefix", Prefix},
            {"kind", Kind},
            {"timeout", "2000ms"},
            {"target-latency", "1000ms"},
            {"priority", 1},
            {"service", "huvo11a"},
            {"max-attempts", 2},
            {"public", false}}}};
}

} // namespace

double secondsNow() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - Start)
      .count();
}

task<void> sleepFor(asio::io_context &Loop, double Seconds) {
  asio::steady_timer Timer(Loop, toDuration(Seconds));
  co_await Timer.async_wait(UseTaskTuple);
}

void recorder::note(const std::string &Line) {
  char Time[32];
  std::snprintf(Time, sizeof(Time), "%9.3f ", secondsNow());
  File << Time << Line << std::endl;
}

// The store.

void platform_store::start(std::uint16_t Port) {
  asio::co_spawn(
      Loop,
      acceptAll(Loop, listenOn(Loop, Port),
                [this](tcp_stream Stream) { return serve(std::move(Stream)); }),
      asio::detached);
}

void platform_store::store(const std::string &Kind, const std::string &Name,
                           json::value Object, bool IsDeleted) {
  ++Revision;
  Object.as_object()["metadata"].as_object()["revision"] = Revision;
  Changes.push_back({.Revision = Revision,
                     .Kind = Kind,
                     .Event = {{"deleted", IsDeleted}, {"object", Object}}});
  if (IsDeleted)
    Objects[Kind].erase(Name);
  else
    Objects[Kind][Name] = std::move(Object);
}

void platform_store::put(const std::string &Kind, const std::string &Name,
                         json::value Spec) {
  Record.note("store: " + Kind + "/" + Name + " written");
  store(Kind, Name,
        json::object{{"metadata", {{"name", Name}}}, {"spec", std::move(Spec)}},
        false);
}

void platform_store::remove(const std::string &Kind, const std::string &Name) {
  const auto Found = Objects[Kind].find(Name);
  if (Found != Objects[Kind].end())
    store(Kind, Name, json::value(Found->second), true);
}

task<void> platform_store::serve(tcp_stream Stream) {
  beast::flat_buffer Buffer;
  while (true) {
    http_request Request;
    auto [Error, Read] =
        co_await http::async_read(Stream, Buffer, Request, UseTaskTuple);
    if (Error)
      co_return;
    std::optional<http_response> Response = co_await answer(Request);
    // A connection on which an answer is lost returns nothing further.
    while (!Response)
      co_await sleepFor(Loop, 1);
    auto [WriteError, Written] =
        co_await http::async_write(Stream, *Response, UseTaskTuple);
    if (WriteError)
      co_return;
  }
}

task<std::optional<http_response>>
platform_store::answer(const http_request &Request) {
  const std::string Target = toText(Request.target());
  const std::string Path = Target.substr(0, Target.find('?'));
  const std::string Prefix = "/v1/objects/";
  const std::string Rest = Path.substr(std::min(Prefix.size(), Path.size()));
  const std::size_t Slash = Rest.find('/');
  const std::string Kind = Rest.substr(0, Slash);
  std::string Name =
      Slash == std::string::npos ? std::string() : Rest.substr(Slash + 1);
  if (Request.method() == http::verb::get) {
    if (IsSilent)
      co_return std::nullopt;
    const std::string After = queryValue(Target, "watch");
    if (After.empty())
      co_return list(Kind);
    http_response Changed =
        co_await watch(Kind, std::stoull(After),
                       std::stod(queryValue(Target, "wait-ms")) / 1'000);
    const bool HasEvents = Changed.body().find("object") != std::string::npos;
    if (HasEvents && LosesWatchAnswer && LosesWatchAnswer(Kind)) {
      Record.note("store: the answer of a watch of " + Kind + " is lost");
      co_return std::nullopt;
    }
    co_return Changed;
  }
  if (Name.empty())
    Name = std::string(
        json::parse(Request.body()).at("metadata").at("name").as_string());
  const std::string Method = toText(Request.method_string());
  const write_fate Fate = JudgeWrite ? JudgeWrite(Method, Name) : write_fate{};
  if (Fate.DelaySeconds > 0)
    co_await sleepFor(Loop, Fate.DelaySeconds);
  http_response Response = write(Request, Kind, Name);
  Record.note("store: " + Method + " " + Kind + "/" + Name + " done, status " +
              std::to_string(Response.result_int()) +
              (Fate.IsAnswerLost ? ", answer lost" : ""));
  if (Fate.IsAnswerLost)
    co_return std::nullopt;
  co_return Response;
}

http_response platform_store::list(const std::string &Kind) {
  json::array Items;
  for (const auto &[Name, Object] : Objects[Kind])
    Items.push_back(Object);
  return makeResponse(200, {{"items", std::move(Items)},
                            {"has-more", false},
                            {"store-revision", Revision}});
}

task<http_response> platform_store::watch(const std::string &Kind,
                                          std::uint64_t After,
                                          double WaitSeconds) {
  const double Deadline = secondsNow() + WaitSeconds;
  while (true) {
    json::array Events;
    for (const change &Each : Changes)
      if (Each.Revision > After && Each.Kind == Kind)
        Events.push_back(Each.Event);
    if (!Events.empty() || secondsNow() >= Deadline)
      co_return makeResponse(
          200, {{"events", std::move(Events)}, {"store-revision", Revision}});
    co_await sleepFor(Loop, WatchPollSeconds);
  }
}

http_response platform_store::write(const http_request &Request,
                                    const std::string &Kind,
                                    const std::string &Name) {
  const auto Found = Objects[Kind].find(Name);
  const bool Exists = Found != Objects[Kind].end();
  if (Request.method() == http::verb::delete_) {
    if (!Exists)
      return makeResponse(404, json::object{});
    remove(Kind, Name);
    return makeResponse(200, json::object{});
  }
  if (Request.method() == http::verb::post && Exists)
    return makeResponse(409, Found->second);
  if (Request.method() == http::verb::put && !Exists)
    return makeResponse(404, json::object{});
  store(Kind, Name, json::parse(Request.body()), false);
  return makeResponse(200, Objects[Kind][Name]);
}

// Endpoints.

void endpoint::start(std::uint16_t ChosenPort) {
  Port = ChosenPort;
  Acceptor = listenOn(Loop, Port);
  asio::co_spawn(Loop,
                 acceptAll(Loop, Acceptor,
                           [this](tcp_stream Stream) {
                             auto Shared = std::make_shared<tcp_stream>(
                                 std::move(Stream));
                             Streams.push_back(Shared);
                             return serve(std::move(Shared));
                           }),
                 asio::detached);
}

void endpoint::end() {
  Record.note("endpoint " + Id + " ends");
  HasEnded = true;
  boost::system::error_code Ignored;
  Acceptor->close(Ignored);
  for (const auto &Each : Streams)
    if (const auto Stream = Each.lock())
      Stream->close();
}

json::value endpoint::entry(const std::string &Zone,
                            const std::string &State) const {
  return {
      {"address", "127.0.0.1:" + std::to_string(Port)},
      {"info",
       {{"service", Service},
        {"zone", Zone},
        {"version", "v1"},
        {"max-concurrency", 3}}},
      {"status", {{"state", State}, {"sequence", 1}, {"warmup-left", "0ms"}}},
      {"born", 1'700'000'000'000}};
}

task<void> endpoint::serve(std::shared_ptr<tcp_stream> Stream) {
  beast::flat_buffer Buffer;
  while (true) {
    http_request Request;
    auto [Error, Read] =
        co_await http::async_read(*Stream, Buffer, Request, UseTaskTuple);
    if (Error)
      co_return;
    http_response Response(http::status::ok, 11);
    Response.set("X-Request-Id", Request["X-Request-Id"]);
    if (Request["X-Target-Instance"] != Id) {
      Response.result(421);
      Response.set("X-Instance-Id", Id);
    } else if (IsFull) {
      Response.result(503);
      Response.set("X-Not-Executed", "1");
    } else {
      const double Work = Request["X-Request-Id"].starts_with("slow")
                              ? SlowWorkSeconds
                              : WorkSeconds;
      Runs.push_back({.At = secondsNow(),
                      .RequestId = toText(Request["X-Request-Id"]),
                      .Tenant = toText(Request["X-Tenant"]),
                      .Endpoint = Id,
                      .EndsAt = secondsNow() + Work});
      Record.note("endpoint " + Id + " runs " + Runs.back().RequestId);
      const std::size_t Index = Runs.size() - 1;
      if (Work > 0)
        co_await sleepFor(Loop, Work);
      Runs[Index].IsCut = HasEnded;
      if (HasEnded)
        co_return;
      Response.set("X-Response-Signature", "sig-" + Id);
      Response.body() = "answer to " + toText(Request["X-Request-Id"]);
    }
    Response.prepare_payload();
    auto [WriteError, Written] =
        co_await http::async_write(*Stream, Response, UseTaskTuple);
    if (WriteError)
      co_return;
  }
}

// Machines.

vm_ports findPorts() {
  for (int First = 21'000 + (getpid() % 128) * PortsPerFleet; First < 32'000;
       First += PortsPerFleet) {
    bool AllFree = true;
    for (int Offset = 0; AllFree && Offset < PortsPerFleet; ++Offset)
      AllFree = isFree("127.0.0.1", First + Offset) &&
                isFree("127.0.1.1", First + Offset);
    const auto Port = [First](int Offset) {
      return static_cast<std::uint16_t>(First + Offset);
    };
    if (AllFree)
      return {.Front = Port(0),
              .Readiness = Port(1),
              .Directory = Port(2),
              .Internal = Port(4),
              .Store = Port(3),
              .Endpoints = Port(24)};
  }
  return {};
}

vm_process::vm_process(std::string Name, std::string Zone, std::string Ip,
                       const vm_ports &Ports, std::string Program,
                       const std::string &Folder)
    : Name(std::move(Name)), Zone(std::move(Zone)), Ip(std::move(Ip)),
      Program(std::move(Program)), FlagFile(Folder + "/" + this->Name),
      LogFile(Folder + "/" + this->Name + ".log") {
  const auto Address = [this](std::uint16_t Port) {
    return this->Ip + ":" + std::to_string(Port);
  };
  std::ofstream File(FlagFile);
  File << "--vm=" << this->Name << "\n--data_center=" << this->Zone
       << "\n--caller_endpoint=" << Address(Ports.Front)
       << "\n--readiness_endpoint=" << Address(Ports.Readiness)
       << "\n--directory_endpoint=" << Address(Ports.Directory)
       << "\n--internal_ports=" << Ports.Internal << "," << Ports.Internal + 15
       << "\n--platform_endpoint=127.0.0.1:" << Ports.Store
       << "\n--address_ttl=1s\n--retry_ratio=0.2\n--retry_extra=56"
       << "\n--shutdown_limit=6s\n--rate_window=5s\n--rate_share=0.1"
       << "\n--rate_requests=20\n--floor_share=0.7\n--processor_cores=0.2"
       << "\n--link_mbps=1000.0\n";
}

vm_process::~vm_process() { kill(); }

void vm_process::start() {
  Pid = fork();
  if (Pid != 0)
    return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int Log = open(LogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(Log, STDOUT_FILENO);
  dup2(Log, STDERR_FILENO);
  const std::string FlagFileArgument = "--flagfile=" + FlagFile;
  execl(Program.c_str(), Program.c_str(), "--adapter=hivecrest",
        FlagFileArgument.c_str(), nullptr);
  _exit(127);
}

void vm_process::signal(int Signal) const {
  if (Pid > 0)
    ::kill(Pid, Signal);
}

void vm_process::kill() {
  if (Pid <= 0)
    return;
  signal(SIGKILL);
  waitpid(Pid, nullptr, 0);
  Pid = -1;
}

bool vm_process::hasEnded() {
  if (Pid > 0 && waitpid(Pid, nullptr, WNOHANG) == Pid)
    Pid = -1;
  return Pid <= 0;
}

// Clients.

task<client_answer> sendRequest(asio::io_context &Loop, const std::string &Ip,
                                std::uint16_t Port,
                                const client_request &Request) {
  constexpr std::chrono::seconds ConnectTimeout{1};
  client_answer Answer;
  tcp_stream Stream(Loop.get_executor());
  Stream.expires_after(ConnectTimeout);
  auto [ConnectError] = co_await Stream.async_connect(
      asio::ip::tcp::endpoint(asio::ip::make_address(Ip), Port), UseTaskTuple);
  if (ConnectError) {
    Answer.Error = "connect: " + ConnectError.message();
    co_return Answer;
  }
  http_request Message(http::string_to_verb(Request.Method), Request.Path, 11);
  Message.set(http::field::host, "hulo84.example");
  Message.set("X-Request-Id", Request.Id);
  Message.set("X-Deadline-Ms", std::to_string(Request.DeadlineMs));
  if (!Request.Key.empty())
    Message.set(http::field::authorization, "Bearer " + Request.Key);
  Message.body() = Request.Body;
  Message.prepare_payload();
  Stream.expires_after(std::chrono::milliseconds(Request.DeadlineMs));
  // A failed write shows in the read that follows.
  co_await http::async_write(Stream, Message, UseTaskTuple);
  beast::flat_buffer Buffer;
  http_response Response;
  auto [ReadError, Read] =
      co_await http::async_read(Stream, Buffer, Response, UseTaskTuple);
  if (ReadError) {
    Answer.Error = ReadError.message();
    co_return Answer;
  }
  Answer.Status = Response.result_int();
  Answer.Signature = toText(Response["X-Response-Signature"]);
  Answer.Body = Response.body();
  co_return Answer;
}

task<std::vector<std::string>> resolve(asio::io_context &Loop,
                                       const std::string &Ip,
                                       const vm_ports &Ports,
                                       const std::string &Zone) {
  // GCC 12 destroys temporary aggregates in the operand of co_await twice.
  const client_request Request{
      .Path = "/v1/resolve?name=hulo84.example&region=great-lakes&zone=" + Zone,
      .DeadlineMs = 1'000};
  const client_answer Answer =
      co_await sendRequest(Loop, Ip, Ports.Directory, Request);
  std::vector<std::string> Addresses;
  boost::system::error_code Error;
  const json::value Body = json::parse(Answer.Body, Error);
  if (Answer.Status != 200 || Error || !Body.is_object())
    co_return Addresses;
  for (const json::value &Each : Body.at("addresses").as_array()) {
    const std::string Address(Each.as_string());
    Addresses.push_back(Address.substr(0, Address.find(':')));
  }
  co_return Addresses;
}

std::string keyOf(const tenant &Tenant) { return "key-" + Tenant.Name; }

json::value makeConfiguration(int Version, const std::vector<tenant> &Tenants) {
  json::array Resources{makeRoute("/leny950/", "idempotent"),
                        makeRoute("/puka111/", "non_idempotent"),
                        {{"resource-kind", "services"},
                         {"metadata", {{"name", "huvo11a"}}},
                         {"spec",
                          {{"health-path", "/health"},
                           {"max-connections", 330},
                           {"protocol", "h1"},
                           {"tls", false}}}},
                        {{"resource-kind", "limits"},
                         {"metadata", json::object{}},
                         {"spec",
                          {{"max-header-bytes", 16'384},
                           {"max-body-bytes", 67'108'864},
                           {"header-timeout", "3000ms"},
                           {"idle-timeout", "15000ms"}}}}};
  for (const tenant &Each : Tenants) {
    json::object Spec{{"api-keys", json::array{keyOf(Each)}}, {"priority", 1}};
    if (Each.RatePerSecond > 0) {
      Spec["rate-per-s"] = Each.RatePerSecond;
      Spec["burst"] = Each.Burst;
    }
    Resources.push_back({{"resource-kind", "tenants"},
                         {"metadata", {{"name", Each.Name}}},
                         {"spec", std::move(Spec)}});
  }
  return {{"version", Version}, {"resources", std::move(Resources)}};
}

} // namespace peridot::review
