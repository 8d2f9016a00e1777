/// \file
/// Child processes of a test: started, watched, stopped.
#pragma once

#include <csignal>
#include <map>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

#include <condition_variable>
#include <mutex>

namespace peridot::test {

/// A program that runs until the object is destroyed. Its standard error is
/// read line by line.
class process {
public:
  /// \param Program name of a binary of this build.
  process(const std::string &Program, const std::vector<std::string> &Args);
  ~process();
  process(const process &) = delete;
  process &operator=(const process &) = delete;

  /// Waits for a line that contains \p Text and returns it; throws when the
  /// process ends or a generous limit passes first.
  std::string awaitLine(const std::string &Text);
  /// All lines so far.
  std::vector<std::string> lines() const;

  void signal(int Signal) const;
  /// Waits for the end and returns the exit code; negative: the signal.
  int awaitExit();

private:
  void readLines();

  pid_t Pid = -1;
  int Pipe = -1;
  int ExitStatus = 0;
  bool Reaped = false;
  mutable std::mutex Mutex;
  std::condition_variable Changed;
  std::vector<std::string> Lines;
  bool Ended = false;
  std::thread Reader;
};

/// Output and exit code of a program that ran to its end.
struct finished_program {
  int ExitCode = 0;
  std::string Output;
};

/// Runs a binary of this build to its end, standard error included.
finished_program runProgram(const std::string &Program,
                            const std::vector<std::string> &Args,
                            const std::string &Input = "");

/// Integer value of a field in a JSON line.
int jsonInteger(const std::string &Line, const std::string &Field);

} // namespace peridot::test
