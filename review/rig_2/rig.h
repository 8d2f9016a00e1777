/// \file
/// Stand-ins for the cases of the second review: the platform's store, targets,
/// cuttable links between VMs, and callers. Blocking sockets and a thread for
/// each connection.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <sys/types.h>

#include <boost/json.hpp>

namespace peridot::review {

namespace json = boost::json;
using steady = std::chrono::steady_clock;

/// Exit codes of a case.
inline constexpr int ExitHeld = 0;
inline constexpr int ExitBroken = 1;
inline constexpr int ExitCannotRun = 2;

/// Milliseconds since the case began.
std::int64_t nowMs();
void sleepMs(std::int64_t Millis);
/// Sleeps until nowMs() is \p At.
void sleepUntilMs(std::int64_t At);
/// Whether the disruption is to be caused; TROUBLE=0 says no.
bool hasTrouble();
/// Writes one line to record.txt; thread-safe.
void record(const std::string &Line);
/// Opens record.txt in \p Folder.
void openRecord(const std::string &Folder);
/// Ends all processes that were started and this one.
[[noreturn]] void finish(int Code);

/// An HTTP request or response.
struct http_message {
  std::string Start; ///< First line.
  std::vector<std::pair<std::string, std::string>> Fields;
  std::string Body;

  /// Returns the first field of that name, which is compared without case.
  std::string field(std::string_view Name) const;
  std::string method() const { return Start.substr(0, Start.find(' ')); }
  std::string target() const;
  unsigned status() const;
  std::string text() const;
};

/// A connected socket.
class connection {
public:
  explicit connection(int Descriptor = -1) : Descriptor(Descriptor) {}
  connection(connection &&Other) noexcept;
  connection &operator=(connection &&Other) noexcept;
  ~connection() { close(); }

  /// Connects to \p Ip; not open after a failure.
  static connection dial(const std::string &Ip, int Port, int TimeoutMs = 1000);
  bool isOpen() const { return Descriptor >= 0; }
  int descriptor() const { return Descriptor; }
  bool write(std::string_view Text);
  /// Reads a whole message; nullopt: the peer closed or reset, or time is up.
  std::optional<http_message> read(int TimeoutMs, bool IsHead = false);
  /// Reads the head alone.
  std::optional<http_message> readHead(int TimeoutMs);
  /// Whether bytes or an end can be read within the time.
  bool awaitReadable(int TimeoutMs) const;
  /// Reads what is there; false: the end or an error.
  bool receive(int TimeoutMs);
  std::string &buffer() { return Buffer; }
  /// Makes close() send a reset.
  void resetOnClose();
  void close();

private:
  int Descriptor = -1;
  std::string Buffer;
};

/// Opens a listener and serves each connection on its own thread.
/// \returns the port.
int serve(const std::string &Ip, int Port,
          std::function<void(connection)> Handler);
/// Returns \p Count consecutive ports that are free on all of \p Ips.
int freePorts(const std::vector<std::string> &Ips, int Count);

/// The platform's store.
class object_store {
public:
  object_store();

  int port() const { return Port; }
  void put(const std::string &Kind, const std::string &Name,
           const json::value &Spec);
  void remove(const std::string &Kind, const std::string &Name);
  bool has(const std::string &Kind, const std::string &Name);
  /// Shows \p Shown in place of the peer port \p Real in entries of VMs.
  void showPeerPort(int Real, int Shown);
  std::uint64_t revision();
  /// Keeps a copy of the current state.
  void copy();
  /// Ends all connections and returns to the copy: a later era.
  void restore();
  /// While down, calls get 503, also watches that wait.
  void setDown(bool Down);
  /// Number of calls that were received.
  std::uint64_t callCount() const { return Calls; }

private:
  struct event {
    std::uint64_t Revision = 0;
    std::string Kind;
    json::value Object;
    bool Deleted = false;
  };
  using objects = std::map<std::string, std::map<std::string, json::value>>;
  struct state {
    std::uint64_t Revision = 100;
    objects Objects;
    std::deque<event> History;
  };

  void handle(connection Caller);
  /// Counts a call. \returns whether it is within the store's rates.
  bool admit(bool IsRead);
  http_message respond(const http_message &Request);
  http_message read(const std::string &Kind, const std::string &Name,
                    const std::map<std::string, std::string> &Query);
  http_message watch(const std::string &Kind, std::uint64_t After,
                     std::int64_t WaitMs);
  http_message write(const http_message &Request, const std::string &Kind,
                     const std::string &Name,
                     const std::map<std::string, std::string> &Query);
  json::value store(const std::string &Kind, const std::string &Name,
                    json::value Spec);
  void erase(const std::string &Kind, const std::string &Name);
  static http_message answer(unsigned Status, const json::value &Body);

  std::mutex Mutex;
  std::condition_variable Changed;
  state Current;
  std::optional<state> Copy;
  std::uint64_t Era = 1;
  std::map<int, int> ShownPeerPorts;
  std::atomic<bool> IsDown{false};
  std::atomic<std::uint64_t> Calls{0};
  std::int64_t SecondBeganAt = 0;
  unsigned ReadsInSecond = 0;
  unsigned WritesInSecond = 0;
  int Port = 0;
};

/// A target, and what it saw.
class target_server {
public:
  using handler = std::function<void(connection &, const http_message &)>;
  struct arrival {
    std::int64_t AtMs = 0;
    std::string Id;
    std::string Account;
  };

  target_server(object_store &Store, std::string Name, std::string Service,
                std::string DataCenter, int Slots);

  /// Writes the entry in the store, with a new sequence.
  void heartbeat();
  void setState(const std::string &Next);
  /// Stops or resumes writing the entry.
  void setSilent(bool Silent) { IsSilent = Silent; }
  /// Replaces what is done with each request.
  void setHandler(handler Next) { Handler = std::move(Next); }
  void setWorkMs(int Millis) { WorkMs = Millis; }
  /// The usual response to \p Request.
  static http_message success(const http_message &Request,
                              const std::string &Body);
  std::vector<arrival> arrivals();
  void noteArrival(const http_message &Request);
  const std::string &name() const { return Name; }
  int port() const { return Port; }

private:
  void handle(connection Caller);

  object_store &Store;
  std::string Name, Service, DataCenter, State = "ready";
  int Slots = 1;
  int Port = 0;
  std::int64_t Born = 0;
  std::uint64_t Sequence = 0;
  std::atomic<int> WorkMs{5};
  std::atomic<bool> IsSilent{false};
  handler Handler;
  std::mutex Mutex;
  std::vector<arrival> Arrivals;
};

/// Ports that are the same on all VMs of a case.
struct vm_ports {
  int Caller = 0;
  int Readiness = 0;
  int Directory = 0;
  int Peer = 0;
  int Operator = 0;
  int PeerProxy = 0;
};

/// One peridotport process.
class vm {
public:
  vm(std::string Name, std::string DataCenter, std::string Ip,
     const vm_ports &Ports, int StorePort, std::vector<std::string> ExtraFlags);

  void start();
  void signal(int Number) const;
  /// Waits until the process has ended.
  void awaitEnd();
  bool isRunning();
  bool isReady() const;
  /// Asks this VM for addresses for callers in \p Zone.
  std::vector<std::string> resolve(const std::string &Zone) const;
  const std::string &name() const { return Name; }
  const std::string &dataCenter() const { return DataCenter; }
  const std::string &ip() const { return Ip; }
  const vm_ports &ports() const { return Ports; }
  pid_t pid() const { return Pid; }

private:
  std::string Name, DataCenter, Ip;
  vm_ports Ports;
  int StorePort = 0;
  std::vector<std::string> ExtraFlags;
  pid_t Pid = -1;
};

/// Which messages a cut VM loses.
enum class cut_direction { Both, Sent };

/// Proxies in front of the VMs' peer ports.
class peer_links {
public:
  /// Starts a proxy on PeerProxy of each VM.
  explicit peer_links(const std::vector<vm *> &Vms);
  /// Cuts a VM off: messages from or to it do not pass.
  void cut(const std::string &Vm,
           cut_direction Direction = cut_direction::Both);
  void heal(const std::string &Vm);

private:
  void forward(const vm &Receiver, connection Dialer);
  bool isCut(const std::string &Dialer, const std::string &Receiver);

  std::vector<std::string> Names;
  std::mutex Mutex;
  std::map<std::string, cut_direction> Cut;
};

/// Sends one request on a new connection.
struct caller_request {
  std::string Method = "POST";
  std::string Path;
  std::string Key;
  std::string Id;
  std::string Body;
  int DeadlineMs = 2000;

  http_message message() const;
};
/// \returns the status; 0: no response.
unsigned callOnce(const std::string &Ip, int Port,
                  const caller_request &Request);

/// Parts of a configuration.
json::value routeTo(const std::string &Name, const std::string &Service,
                    const std::string &Kind, const std::string &Timeout);
json::value serviceOf(const std::string &Name);
json::value accountOf(const std::string &Name, const std::string &Key,
                      double PerSecond, double Burst);
json::value limitsOf();

} // namespace peridot::review
