#include "rig.h"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <thread>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/json/src.hpp>

namespace peridot::review {

namespace {

constexpr std::size_t ReadBytes = 64U << 10U;
constexpr std::size_t MaxHistory = 5'000;
constexpr int IdleTimeoutMs = 60'000;

const steady::time_point CaseStart = steady::now();

std::mutex RecordMutex;
std::ofstream RecordFile;

std::mutex ProcessMutex;
std::vector<pid_t> Processes;

bool equalNames(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         strncasecmp(Left.data(), Right.data(), Left.size()) == 0;
}

sockaddr_in addressOf(const std::string &Ip, int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  return Address;
}

std::string decode(std::string_view Text) {
  std::string Decoded;
  for (std::size_t At = 0; At < Text.size(); ++At)
    if (Text[At] == '%' && At + 2 < Text.size()) {
      Decoded += static_cast<char>(
          std::stoi(std::string(Text.substr(At + 1, 2)), nullptr, 16));
      At += 2;
    } else {
      Decoded += Text[At];
    }
  return Decoded;
}

std::map<std::string, std::string> queryOf(const std::string &Target) {
  std::map<std::string, std::string> Query;
  const std::size_t Mark = Target.find('?');
  if (Mark == Target.npos)
    return Query;
  std::string Rest = Target.substr(Mark + 1);
  while (!Rest.empty()) {
    const std::string Pair = Rest.substr(0, Rest.find('&'));
    Rest.erase(0, std::min(Rest.size(), Pair.size() + 1));
    const std::size_t Equals = std::min(Pair.find('='), Pair.size());
    Query[decode(Pair.substr(0, Equals))] =
        decode(Pair.substr(std::min(Equals + 1, Pair.size())));
  }
  return Query;
}

std::optional<std::uint64_t> revisionOf(const json::value &Object) {
  const json::object *Whole = Object.if_object();
  const json::value *Metadata =
      Whole ? Whole->if_contains("metadata") : nullptr;
  const json::value *Revision =
      Metadata && Metadata->is_object()
          ? Metadata->get_object().if_contains("revision")
          : nullptr;
  if (!Revision || !Revision->is_number())
    return std::nullopt;
  return Revision->to_number<std::uint64_t>();
}

} // namespace

std::int64_t nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() -
                                                               CaseStart)
      .count();
}

void sleepMs(std::int64_t Millis) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Millis));
}

void sleepUntilMs(std::int64_t At) {
  std::this_thread::sleep_until(CaseStart + std::chrono::milliseconds(At));
}

bool hasTrouble() {
  const char *Text = std::getenv("TROUBLE");
  return !Text || std::string_view(Text) != "0";
}

void openRecord(const std::string &Folder) {
  RecordFile.open(Folder + "/record.txt", std::ios::trunc);
  std::thread([] {
    constexpr std::int64_t MaxCaseMs = 115'000;
    sleepUntilMs(MaxCaseMs);
    record("the case took too long");
    finish(ExitCannotRun);
  }).detach();
}

void record(const std::string &Line) {
  const std::lock_guard Lock(RecordMutex);
  RecordFile << nowMs() << " " << Line << '\n';
}

void finish(int Code) {
  {
    const std::lock_guard Lock(ProcessMutex);
    for (const pid_t Each : Processes) {
      kill(Each, SIGCONT);
      kill(Each, SIGKILL);
      waitpid(Each, nullptr, 0);
    }
  }
  record("exit " + std::to_string(Code));
  const std::lock_guard Lock(RecordMutex);
  RecordFile.flush();
  std::cout.flush();
  _exit(Code);
}

std::string http_message::field(std::string_view Name) const {
  for (const auto &[Known, Value] : Fields)
    if (equalNames(Known, Name))
      return Value;
  return {};
}

std::string http_message::target() const {
  const std::size_t First = Start.find(' ');
  const std::size_t Last = Start.rfind(' ');
  return First < Last ? Start.substr(First + 1, Last - First - 1) : "";
}

unsigned http_message::status() const {
  const std::size_t First = Start.find(' ');
  return First == Start.npos
             ? 0
             : static_cast<unsigned>(std::atoi(Start.c_str() + First));
}

std::string http_message::text() const {
  std::string Text = Start + "\r\n";
  for (const auto &[Name, Value] : Fields)
    Text += Name + ": " + Value + "\r\n";
  return Text + "\r\n" + Body;
}

connection::connection(connection &&Other) noexcept
    : Descriptor(std::exchange(Other.Descriptor, -1)),
      Buffer(std::move(Other.Buffer)) {}

connection &connection::operator=(connection &&Other) noexcept {
  close();
  Descriptor = std::exchange(Other.Descriptor, -1);
  Buffer = std::move(Other.Buffer);
  return *this;
}

connection connection::dial(const std::string &Ip, int Port, int TimeoutMs) {
  connection Dialed(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in Address = addressOf(Ip, Port);
  const int Flags = fcntl(Dialed.Descriptor, F_GETFL);
  fcntl(Dialed.Descriptor, F_SETFL, Flags | O_NONBLOCK);
  int Failure =
      connect(Dialed.Descriptor, reinterpret_cast<const sockaddr *>(&Address),
              sizeof(Address));
  if (Failure != 0 && errno == EINPROGRESS) {
    pollfd State{.fd = Dialed.Descriptor, .events = POLLOUT, .revents = 0};
    socklen_t Size = sizeof(Failure);
    if (poll(&State, 1, TimeoutMs) <= 0 ||
        getsockopt(Dialed.Descriptor, SOL_SOCKET, SO_ERROR, &Failure, &Size))
      Failure = -1;
  }
  fcntl(Dialed.Descriptor, F_SETFL, Flags);
  const int On = 1;
  setsockopt(Dialed.Descriptor, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  if (Failure != 0)
    Dialed.close();
  return Dialed;
}

bool connection::write(std::string_view Text) {
  while (!Text.empty()) {
    const ssize_t Count =
        send(Descriptor, Text.data(), Text.size(), MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Text.remove_prefix(static_cast<std::size_t>(Count));
  }
  return true;
}

bool connection::awaitReadable(int TimeoutMs) const {
  pollfd State{.fd = Descriptor, .events = POLLIN, .revents = 0};
  return poll(&State, 1, TimeoutMs) > 0;
}

bool connection::receive(int TimeoutMs) {
  if (!awaitReadable(TimeoutMs))
    return false;
  std::string Part(ReadBytes, '\0');
  const ssize_t Count = recv(Descriptor, Part.data(), Part.size(), 0);
  if (Count <= 0)
    return false;
  Buffer.append(Part, 0, static_cast<std::size_t>(Count));
  return true;
}

std::optional<http_message> connection::readHead(int TimeoutMs) {
  const std::int64_t Until = nowMs() + TimeoutMs;
  std::size_t End = 0;
  while ((End = Buffer.find("\r\n\r\n")) == Buffer.npos)
    if (nowMs() >= Until || !receive(static_cast<int>(Until - nowMs())))
      return std::nullopt;
  http_message Message;
  std::string Head = Buffer.substr(0, End + 2);
  Buffer.erase(0, End + 4);
  Message.Start = Head.substr(0, Head.find("\r\n"));
  Head.erase(0, Message.Start.size() + 2);
  while (!Head.empty()) {
    const std::string Line = Head.substr(0, Head.find("\r\n"));
    Head.erase(0, Line.size() + 2);
    const std::size_t Colon = std::min(Line.find(':'), Line.size());
    const std::size_t Value =
        std::min(Line.find_first_not_of(" \t", Colon + 1), Line.size());
    Message.Fields.emplace_back(Line.substr(0, Colon), Line.substr(Value));
  }
  return Message;
}

std::optional<http_message> connection::read(int TimeoutMs, bool IsHead) {
  const std::int64_t Until = nowMs() + TimeoutMs;
  auto Message = readHead(TimeoutMs);
  if (!Message || IsHead)
    return Message;
  const auto ReadMore = [&] {
    return nowMs() < Until && receive(static_cast<int>(Until - nowMs()));
  };
  if (equalNames(Message->field("Transfer-Encoding"), "chunked")) {
    while (true) {
      std::size_t End = 0;
      while ((End = Buffer.find("\r\n")) == Buffer.npos)
        if (!ReadMore())
          return std::nullopt;
      const std::size_t Size = std::stoul(Buffer.substr(0, End), nullptr, 16);
      while (Buffer.size() < End + 2 + Size + 2)
        if (!ReadMore())
          return std::nullopt;
      Message->Body += Buffer.substr(End + 2, Size);
      Buffer.erase(0, End + 2 + Size + 2);
      if (Size == 0)
        return Message;
    }
  }
  const std::string Length = Message->field("Content-Length");
  const std::size_t Size = Length.empty() ? 0 : std::stoul(Length);
  while (Buffer.size() < Size)
    if (!ReadMore())
      return std::nullopt;
  Message->Body = Buffer.substr(0, Size);
  Buffer.erase(0, Size);
  return Message;
}

void connection::resetOnClose() {
  const linger Now{.l_onoff = 1, .l_linger = 0};
  setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &Now, sizeof(Now));
}

void connection::close() {
  if (Descriptor >= 0)
    ::close(std::exchange(Descriptor, -1));
}

int serve(const std::string &Ip, int Port,
          std::function<void(connection)> Handler) {
  const int Listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Address = addressOf(Ip, Port);
  socklen_t Size = sizeof(Address);
  if (bind(Listener, reinterpret_cast<sockaddr *>(&Address), Size) != 0 ||
      listen(Listener, 1024) != 0) {
    record("cannot listen on " + Ip + ":" + std::to_string(Port));
    finish(ExitCannotRun);
  }
  getsockname(Listener, reinterpret_cast<sockaddr *>(&Address), &Size);
  std::thread([Listener, Handle = std::move(Handler)] {
    while (true) {
      const int Accepted = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Accepted < 0)
        continue;
      const int NoDelay = 1;
      setsockopt(Accepted, IPPROTO_TCP, TCP_NODELAY, &NoDelay, sizeof(NoDelay));
      std::thread([Handle, Accepted] {
        Handle(connection(Accepted));
      }).detach();
    }
  }).detach();
  return ntohs(Address.sin_port);
}

int freePorts(const std::vector<std::string> &Ips, int Count) {
  constexpr int First = 20'000;
  constexpr int Range = 10'000;
  std::srand(static_cast<unsigned>(getpid()));
  for (int Try = 0; Try < 200; ++Try) {
    const int Base = First + std::rand() % Range;
    bool IsFree = true;
    for (const std::string &Ip : Ips)
      for (int Port = Base; Port < Base + Count && IsFree; ++Port) {
        const int Probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in Address = addressOf(Ip, Port);
        IsFree = bind(Probe, reinterpret_cast<const sockaddr *>(&Address),
                      sizeof(Address)) == 0;
        ::close(Probe);
      }
    if (IsFree)
      return Base;
  }
  finish(ExitCannotRun);
}

object_store::object_store() {
  Port = serve("127.0.0.1", 0,
               [this](connection Caller) { handle(std::move(Caller)); });
}

http_message object_store::answer(unsigned Status, const json::value &Body) {
  http_message Message;
  Message.Start = "HTTP/1.1 " + std::to_string(Status) + " S";
  Message.Body = json::serialize(Body);
  Message.Fields = {{"Content-Type", "application/json"},
                    {"Content-Length", std::to_string(Message.Body.size())}};
  return Message;
}

void object_store::handle(connection Caller) {
  while (auto Request = Caller.read(IdleTimeoutMs)) {
    std::uint64_t Before = 0;
    {
      const std::lock_guard Lock(Mutex);
      Before = Era;
    }
    const bool IsAdmitted = admit(Request->method() == "GET");
    http_message Response = IsDown        ? answer(503, json::object())
                            : !IsAdmitted ? answer(429, json::object())
                                          : respond(*Request);
    {
      const std::lock_guard Lock(Mutex);
      // A restored store has none of its earlier connections.
      if (Before != Era)
        return;
      Response.Fields.emplace_back("Store-Era", std::to_string(Era));
    }
    if (!Caller.write(Response.text()))
      return;
  }
}

bool object_store::admit(bool IsRead) {
  constexpr std::int64_t SecondMs = 1'000;
  constexpr unsigned ReadsPerSecond = 2'000;
  constexpr unsigned WritesPerSecond = 400;
  const std::lock_guard Lock(Mutex);
  ++Calls;
  if (nowMs() - SecondBeganAt >= SecondMs) {
    SecondBeganAt = nowMs();
    ReadsInSecond = WritesInSecond = 0;
  }
  return IsRead ? ++ReadsInSecond <= ReadsPerSecond
                : ++WritesInSecond <= WritesPerSecond;
}

http_message object_store::respond(const http_message &Request) {
  constexpr std::string_view Prefix = "/v1/objects/";
  const std::string Target = Request.target();
  const std::string Path = Target.substr(0, Target.find('?'));
  if (!Path.starts_with(Prefix))
    return answer(404, json::object());
  const std::string Rest = Path.substr(Prefix.size());
  const std::string Kind = decode(Rest.substr(0, Rest.find('/')));
  const std::string Name = decode(
      Rest.substr(std::min(Rest.size(), std::min(Rest.find('/'), Rest.size()) +
                                            (Rest.find('/') != Rest.npos))));
  const auto Query = queryOf(Target);
  if (Request.method() == "GET")
    return read(Kind, Name, Query);
  return write(Request, Kind, Name, Query);
}

http_message
object_store::read(const std::string &Kind, const std::string &Name,
                   const std::map<std::string, std::string> &Query) {
  if (Query.contains("watch"))
    return watch(Kind, std::stoull(Query.at("watch")),
                 Query.contains("wait-ms") ? std::stoll(Query.at("wait-ms"))
                                           : 0);
  const std::lock_guard Lock(Mutex);
  const auto &Objects = Current.Objects[Kind];
  if (!Name.empty()) {
    const auto Found = Objects.find(Name);
    return Found == Objects.end() ? answer(404, json::object())
                                  : answer(200, Found->second);
  }
  const std::string After =
      Query.contains("after") ? Query.at("after") : std::string();
  json::array Items;
  for (const auto &[Known, Object] : Objects)
    if (Known > After)
      Items.push_back(Object);
  return answer(200, {{"items", std::move(Items)},
                      {"has-more", false},
                      {"store-revision", Current.Revision}});
}

http_message object_store::watch(const std::string &Kind, std::uint64_t After,
                                 std::int64_t WaitMs) {
  const auto Until = steady::now() + std::chrono::milliseconds(WaitMs);
  std::unique_lock Lock(Mutex);
  const std::uint64_t Before = Era;
  while (true) {
    if (IsDown)
      return answer(503, json::object());
    const bool IsKnown = After <= Current.Revision &&
                         (Current.History.empty() ||
                          After + 1 >= Current.History.front().Revision);
    if (!IsKnown)
      return answer(410, json::object());
    json::array Events;
    for (const event &Each : Current.History)
      if (Each.Revision > After && Each.Kind == Kind)
        Events.push_back({{"object", Each.Object}, {"deleted", Each.Deleted}});
    if (!Events.empty() || steady::now() >= Until || Before != Era)
      return answer(200, {{"events", std::move(Events)},
                          {"store-revision", Current.Revision}});
    Changed.wait_until(Lock, Until);
  }
}

json::value object_store::store(const std::string &Kind,
                                const std::string &Name, json::value Spec) {
  json::value &Known = Current.Objects[Kind][Name];
  if (Known.is_object() && Known.at("spec") == Spec)
    return Known;
  ++Current.Revision;
  const std::uint64_t Created =
      Known.is_object()
          ? Known.at("metadata").at("create-rev").to_number<std::uint64_t>()
          : Current.Revision;
  Known = {{"metadata",
            {{"name", Name},
             {"revision", Current.Revision},
             {"create-rev", Created},
             {"finalizers", json::array()},
             {"deleting", false}}},
           {"spec", std::move(Spec)},
           {"status", nullptr}};
  Current.History.push_back(
      {.Revision = Current.Revision, .Kind = Kind, .Object = Known});
  if (Current.History.size() > MaxHistory)
    Current.History.pop_front();
  Changed.notify_all();
  return Known;
}

void object_store::erase(const std::string &Kind, const std::string &Name) {
  auto &Objects = Current.Objects[Kind];
  const auto Found = Objects.find(Name);
  if (Found == Objects.end())
    return;
  ++Current.Revision;
  json::value Removed = std::move(Found->second);
  Removed.at("metadata").as_object()["revision"] = Current.Revision;
  Objects.erase(Found);
  Current.History.push_back({.Revision = Current.Revision,
                             .Kind = Kind,
                             .Object = std::move(Removed),
                             .Deleted = true});
  Changed.notify_all();
}

http_message
object_store::write(const http_message &Request, const std::string &Kind,
                    const std::string &Name,
                    const std::map<std::string, std::string> &Query) {
  const std::lock_guard Lock(Mutex);
  auto &Objects = Current.Objects[Kind];
  if (Request.method() == "DELETE") {
    const auto Found = Objects.find(Name);
    if (Found == Objects.end())
      return answer(404, json::object());
    if (Query.contains("revision") &&
        Query.at("revision") != std::to_string(*revisionOf(Found->second)))
      return answer(409, Found->second);
    erase(Kind, Name);
    return answer(200, json::object());
  }
  json::value Body = json::parse(Request.Body);
  const std::string Named =
      Name.empty() ? std::string(Body.at("metadata").at("name").as_string())
                   : Name;
  const auto Found = Objects.find(Named);
  if (Request.method() == "POST" && Found != Objects.end())
    return answer(409, Found->second);
  if (Request.method() == "PUT" && Found == Objects.end())
    return answer(404, json::object());
  const auto Condition = revisionOf(Body);
  if (Request.method() == "PUT" && Condition &&
      *Condition != *revisionOf(Found->second))
    return answer(409, Found->second);
  json::value Spec = Body.at("spec");
  if (json::object *Fields = Spec.if_object())
    if (json::value *Peer = Fields->if_contains("peer-port")) {
      const auto Shown = ShownPeerPorts.find(Peer->to_number<int>());
      if (Shown != ShownPeerPorts.end())
        *Peer = Shown->second;
    }
  return answer(200, store(Kind, Named, std::move(Spec)));
}

void object_store::put(const std::string &Kind, const std::string &Name,
                       const json::value &Spec) {
  const std::lock_guard Lock(Mutex);
  store(Kind, Name, Spec);
}

void object_store::remove(const std::string &Kind, const std::string &Name) {
  const std::lock_guard Lock(Mutex);
  erase(Kind, Name);
}

bool object_store::has(const std::string &Kind, const std::string &Name) {
  const std::lock_guard Lock(Mutex);
  return Current.Objects[Kind].contains(Name);
}

void object_store::showPeerPort(int Real, int Shown) {
  const std::lock_guard Lock(Mutex);
  ShownPeerPorts[Real] = Shown;
}

std::uint64_t object_store::revision() {
  const std::lock_guard Lock(Mutex);
  return Current.Revision;
}

void object_store::setDown(bool Down) {
  const std::lock_guard Lock(Mutex);
  IsDown = Down;
  Changed.notify_all();
}

void object_store::copy() {
  const std::lock_guard Lock(Mutex);
  Copy = Current;
}

void object_store::restore() {
  const std::lock_guard Lock(Mutex);
  Current = *Copy;
  ++Era;
  Changed.notify_all();
}

target_server::target_server(object_store &Store, std::string Name,
                             std::string Service, std::string DataCenter,
                             int Slots)
    : Store(Store), Name(std::move(Name)), Service(std::move(Service)),
      DataCenter(std::move(DataCenter)), Slots(Slots) {
  Born = std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
             .count();
  Port = serve("127.0.0.1", 0,
               [this](connection Caller) { handle(std::move(Caller)); });
  heartbeat();
  std::thread([this] {
    constexpr std::int64_t HeartbeatMs = 1'500;
    while (true) {
      sleepMs(HeartbeatMs);
      if (!IsSilent)
        heartbeat();
    }
  }).detach();
}

void target_server::heartbeat() {
  const std::lock_guard Lock(Mutex);
  Store.put(
      "servers", Name,
      {{"address", "127.0.0.1:" + std::to_string(Port)},
       {"info",
        {{"service", Service},
         {"version", "v1"},
         {"zone", DataCenter},
         {"max-concurrency", Slots}}},
       {"status",
        {{"state", State}, {"sequence", ++Sequence}, {"warmup-left", "0ms"}}},
       {"born", Born}});
}

void target_server::setState(const std::string &Next) {
  {
    const std::lock_guard Lock(Mutex);
    State = Next;
  }
  heartbeat();
}

http_message target_server::success(const http_message &Request,
                                    const std::string &Body) {
  http_message Response;
  Response.Start = "HTTP/1.1 200 OK";
  Response.Fields = {{"X-Request-Id", Request.field("X-Request-Id")},
                     {"X-Response-Signature", "stand-in"},
                     {"Content-Length", std::to_string(Body.size())}};
  Response.Body = Body;
  return Response;
}

void target_server::noteArrival(const http_message &Request) {
  const std::lock_guard Lock(Mutex);
  Arrivals.push_back({.AtMs = nowMs(),
                      .Id = Request.field("X-Request-Id"),
                      .Account = Request.field("X-Tenant")});
}

std::vector<target_server::arrival> target_server::arrivals() {
  const std::lock_guard Lock(Mutex);
  return Arrivals;
}

void target_server::handle(connection Caller) {
  if (Handler) {
    while (Caller.isOpen()) {
      auto Request = Caller.readHead(IdleTimeoutMs);
      if (!Request)
        return;
      Handler(Caller, *Request);
    }
    return;
  }
  while (auto Request = Caller.read(IdleTimeoutMs)) {
    if (Request->target() != "/health") {
      noteArrival(*Request);
      sleepMs(WorkMs);
    }
    if (!Caller.write(success(*Request, "ok").text()))
      return;
  }
}

vm::vm(std::string Name, std::string DataCenter, std::string Ip,
       const vm_ports &Ports, int StorePort,
       std::vector<std::string> ExtraFlags)
    : Name(std::move(Name)), DataCenter(std::move(DataCenter)),
      Ip(std::move(Ip)), Ports(Ports), StorePort(StorePort),
      ExtraFlags(std::move(ExtraFlags)) {}

void vm::start() {
  const char *Temporary = std::getenv("CASE_TMP");
  const std::string Folder = Temporary ? Temporary : "/tmp";
  const std::string File = Folder + "/" + Name + ".flags";
  const auto At = [this](int Port) { return Ip + ":" + std::to_string(Port); };
  std::ofstream Flags(File, std::ios::trunc);
  Flags << "--vm=" << Name << "\n--data_center=" << DataCenter
        << "\n--caller_endpoint=" << At(Ports.Caller)
        << "\n--readiness_endpoint=" << At(Ports.Readiness)
        << "\n--directory_endpoint=" << At(Ports.Directory)
        << "\n--internal_ports=" << Ports.Peer << "," << Ports.Operator
        << "\n--platform_endpoint=127.0.0.1:" << StorePort
        << "\n--address_ttl=1s\n--retry_ratio=0.2\n--retry_extra=56"
        << "\n--shutdown_limit=6s\n--rate_window=5s\n--rate_share=0.1"
        << "\n--rate_requests=20\n--floor_share=0.7"
        << "\n--processor_cores=0.2\n--link_mbps=1000.0\n--memory_mb=260\n";
  for (const std::string &Each : ExtraFlags)
    Flags << Each << '\n';
  Flags.close();
  const char *Chosen = std::getenv("PERIDOTPORT");
  const std::string Program =
      Chosen ? Chosen : "target/apps/peridotport/peridotport";
  const std::string Log = Folder + "/" + Name + ".log";
  const std::string FlagFile = "--flagfile=" + File;
  Pid = fork();
  if (Pid == 0) {
    const int Output =
        open(Log.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0644);
    dup2(Output, STDOUT_FILENO);
    dup2(Output, STDERR_FILENO);
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    execl(Program.c_str(), Program.c_str(), "--adapter=hivecrest",
          FlagFile.c_str(), nullptr);
    _exit(127);
  }
  const std::lock_guard Lock(ProcessMutex);
  Processes.push_back(Pid);
  record("started " + Name + " as process " + std::to_string(Pid));
}

void vm::signal(int Number) const { kill(Pid, Number); }

void vm::awaitEnd() {
  waitpid(Pid, nullptr, 0);
  const std::lock_guard Lock(ProcessMutex);
  std::erase(Processes, Pid);
}

bool vm::isRunning() {
  int Status = 0;
  if (waitpid(Pid, &Status, WNOHANG) != Pid)
    return true;
  const std::lock_guard Lock(ProcessMutex);
  std::erase(Processes, Pid);
  record(Name + " ended with status " + std::to_string(Status));
  return false;
}

bool vm::isReady() const {
  connection Dialed = connection::dial(Ip, Ports.Readiness);
  if (!Dialed.isOpen() ||
      !Dialed.write("GET /v1/readiness HTTP/1.1\r\nHost: platform\r\n\r\n"))
    return false;
  const auto Response = Dialed.read(1'000);
  return Response && Response->status() == 200;
}

std::vector<std::string> vm::resolve(const std::string &Zone) const {
  std::vector<std::string> Addresses;
  connection Dialed = connection::dial(Ip, Ports.Directory);
  if (!Dialed.isOpen() ||
      !Dialed.write("GET /v1/resolve?name=hulo84.example&region=great-lakes&"
                    "zone=" +
                    Zone + " HTTP/1.1\r\nHost: directory\r\n\r\n"))
    return Addresses;
  const auto Response = Dialed.read(1'000);
  if (!Response || Response->status() != 200)
    return Addresses;
  boost::system::error_code Error;
  const json::value Body = json::parse(Response->Body, Error);
  if (!Error)
    for (const json::value &Each : Body.at("addresses").as_array())
      Addresses.emplace_back(Each.as_string());
  return Addresses;
}

peer_links::peer_links(const std::vector<vm *> &Vms) {
  for (const vm *Each : Vms)
    Names.push_back(Each->name());
  for (const vm *Each : Vms)
    serve(Each->ip(), Each->ports().PeerProxy, [this, Each](connection Dialer) {
      forward(*Each, std::move(Dialer));
    });
}

void peer_links::cut(const std::string &Vm, cut_direction Direction) {
  const std::lock_guard Lock(Mutex);
  Cut[Vm] = Direction;
}

void peer_links::heal(const std::string &Vm) {
  const std::lock_guard Lock(Mutex);
  Cut.erase(Vm);
}

bool peer_links::isCut(const std::string &Dialer, const std::string &Receiver) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Cut.find(Receiver);
  return Cut.contains(Dialer) ||
         (Found != Cut.end() && Found->second == cut_direction::Both);
}

void peer_links::forward(const vm &Receiver, connection Dialer) {
  // While the link is cut nothing passes; the two ends find out by themselves.
  std::string DialerName;
  connection Onward;
  std::int64_t CutSince = -1;
  constexpr std::int64_t TcpTimeoutMs = 1'500;
  while (true) {
    const bool Silent = isCut(DialerName, Receiver.name());
    if (Silent) {
      CutSince = CutSince < 0 ? nowMs() : CutSince;
      // The VMs abandon a link whose bytes are not acknowledged for so long.
      if (nowMs() - CutSince >= TcpTimeoutMs) {
        Dialer.resetOnClose();
        if (Onward.isOpen())
          Onward.resetOnClose();
        return;
      }
      sleepMs(10);
      continue;
    }
    if (CutSince >= 0)
      return;
    if (!Onward.isOpen()) {
      Onward = connection::dial(Receiver.ip(), Receiver.ports().Peer);
      if (!Onward.isOpen())
        return;
    }
    pollfd States[2] = {
        {.fd = Dialer.descriptor(), .events = POLLIN, .revents = 0},
        {.fd = Onward.descriptor(), .events = POLLIN, .revents = 0}};
    if (poll(States, 2, 10) <= 0)
      continue;
    if (States[0].revents != 0) {
      if (!Dialer.receive(0))
        return;
      // The first bytes name the VM that dialed.
      if (DialerName.empty())
        for (const std::string &Each : Names)
          if (Dialer.buffer().find(Each) != std::string::npos)
            DialerName = Each;
      if (isCut(DialerName, Receiver.name()))
        continue;
      if (!Onward.write(std::exchange(Dialer.buffer(), {})))
        return;
    }
    if (States[1].revents != 0) {
      if (!Onward.receive(0) ||
          !Dialer.write(std::exchange(Onward.buffer(), {})))
        return;
    }
  }
}

http_message caller_request::message() const {
  http_message Message;
  Message.Start = Method + " " + Path + " HTTP/1.1";
  Message.Fields = {{"Host", "hulo84.example"},
                    {"X-Request-Id", Id},
                    {"X-Deadline-Ms", std::to_string(DeadlineMs)},
                    {"Authorization", "Bearer " + Key},
                    {"Content-Length", std::to_string(Body.size())}};
  Message.Body = Body;
  return Message;
}

unsigned callOnce(const std::string &Ip, int Port,
                  const caller_request &Request) {
  connection Dialed = connection::dial(Ip, Port);
  if (!Dialed.isOpen() || !Dialed.write(Request.message().text()))
    return 0;
  const auto Response = Dialed.read(Request.DeadlineMs + 500);
  return Response ? Response->status() : 0;
}

json::value routeTo(const std::string &Name, const std::string &Service,
                    const std::string &Kind, const std::string &Timeout) {
  return {{"resource-kind", "routes"},
          {"metadata", {{"name", "r-" + Name}}},
          {"spec",
           {{"host", "hulo84.example"},
            {"path-prefix", "/" + Name + "/"},
            {"kind", Kind},
            {"timeout", Timeout},
            {"target-latency", "1000ms"},
            {"priority", 1},
            {"service", Service},
            {"max-attempts", 2},
            {"public", false}}}};
}

json::value serviceOf(const std::string &Name) {
  return {{"resource-kind", "services"},
          {"metadata", {{"name", Name}}},
          {"spec",
           {{"health-path", "/health"},
            {"max-connections", 330},
            {"protocol", "h1"},
            {"tls", false}}}};
}

json::value accountOf(const std::string &Name, const std::string &Key,
                      double PerSecond, double Burst) {
  return {{"resource-kind", "tenants"},
          {"metadata", {{"name", Name}}},
          {"spec",
           {{"api-keys", json::array{Key}},
            {"priority", 1},
            {"rate-per-s", PerSecond},
            {"burst", Burst}}}};
}

json::value limitsOf() {
  return {{"resource-kind", "limits"},
          {"metadata", json::object()},
          {"spec",
           {{"max-header-bytes", 16'384},
            {"max-body-bytes", 67'108'864},
            {"header-timeout", "3000ms"},
            {"idle-timeout", "15000ms"}}}};
}

} // namespace peridot::review
