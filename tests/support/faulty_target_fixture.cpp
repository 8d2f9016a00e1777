#include "support/faulty_target_fixture.h"

#include <fstream>

namespace peridot::test {

namespace {

constexpr const char *NoContent =
    "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n";

} // namespace

void faulty_target_fixture::addScriptedTarget(scripted_target::script Script,
                                              int Names) {
  Scripted = std::make_unique<scripted_target>(
      [Run = std::move(Script)](scripted_connection &Connection) {
        if (!Connection.readUntil("\r\n\r\n"))
          return;
        if (Connection.received().starts_with("OPTIONS"))
          Connection.send(NoContent);
        else
          Run(Connection);
      });
  std::ofstream File(folder() + "/services/raw.toml");
  File << "service = \"raw\"\nechoes_attempt_id = true\n"
          "[[route]]\npath = \"/raw\"\nopen = true\ndeadline_ms = 1000\n"
          "[[route]]\npath = \"/raw-again\"\nopen = true\n"
          "repeatable = true\ndeadline_ms = 1000\n"
          "[[route]]\npath = \"/raw-upload\"\nopen = true\n"
          "deadline_ms = 20000\n";
  for (int Name = 1; Name <= Names; ++Name)
    File << "[[target]]\nname = \"raw-" << Name
         << "\"\ndata_center = \"lakes-a\"\naddress = \"127.0.0.1\"\nport = "
         << Scripted->port() << "\n";
  File.close();
  publish("scripted target");
  awaitRevision(2);
  awaitCondition("the route /raw in the traffic threads", [&] {
    return httpCall(port(), {.Method = "OPTIONS", .Path = "/raw"}).Status !=
           404;
  });
}

std::string
faulty_target_fixture::attemptIdOf(const scripted_connection &Connection) {
  const std::string Field = "Peridot-Attempt-Id: ";
  const std::string &Received = Connection.received();
  const std::size_t Start = Received.rfind(Field) + Field.size();
  return Received.substr(Start, Received.find("\r\n", Start) - Start);
}

std::string faulty_target_fixture::response(const std::string &Status,
                                            const std::string &Id,
                                            const std::string &Body) {
  return "HTTP/1.1 " + Status + "\r\nPeridot-Attempt-Id: " + Id +
         (Status.starts_with("503") ? "\r\nPeridot-Target-State: shed" : "") +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

} // namespace peridot::test
