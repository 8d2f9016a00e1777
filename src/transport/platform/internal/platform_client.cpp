#include "transport/platform/platform_client.h"

#include "transport/platform/platform_connection.h"

namespace peridot {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::string_view VersionField = "Peridot-Version";
constexpr std::string_view IfVersionField = "Peridot-If-Version";

beast::string_view view(std::string_view Text) {
  return {Text.data(), Text.size()};
}

task<result<platform_response>> exchange(boost::asio::io_context &Loop,
                                         platform_options Options,
                                         std::chrono::milliseconds Timeout,
                                         platform_request Request) {
  platform_connection Caller(Loop, Options.Endpoint);
  co_return co_await Caller.call(std::move(Request), Timeout);
}

/// Returns the path of an object.
request_target pathOfObject(std::string_view Name) {
  return request_target("/objects").addSegment(Name);
}

platform_request makeRequest(http::verb Verb, const request_target &Target) {
  return makePlatformRequest(Verb, Target, false);
}

result<std::uint64_t> versionOf(const platform_response &Response) {
  const auto Text = Response[view(VersionField)];
  std::uint64_t Version = 0;
  for (char Digit : Text) {
    if (Digit < '0' || Digit > '9')
      return fail(error_kind::Protocol,
                  "the platform sent a malformed object version",
                  "check that the configured address is the platform's");
    Version = Version * 10 + static_cast<std::uint64_t>(Digit - '0');
  }
  return Version;
}

result<std::optional<stored_object>>
objectFrom(result<platform_response> Response) {
  if (!Response)
    return tl::unexpected(Response.error());
  if (Response->result() == http::status::not_found ||
      Response->result() == http::status::not_modified)
    return std::nullopt;
  if (Response->result() != http::status::ok)
    return unexpectedResponse(*Response);
  const auto Version = versionOf(*Response);
  if (!Version)
    return tl::unexpected(Version.error());
  return stored_object{*Version, std::move(Response->body())};
}

} // namespace

task<result<std::optional<stored_object>>>
platform_client::read(std::string Name) {
  platform_request Request = makeRequest(http::verb::get, pathOfObject(Name));
  co_return objectFrom(co_await exchange(Loop, Options, Options.CallTimeout,
                                         std::move(Request)));
}

task<result<std::optional<stored_object>>>
platform_client::watch(std::string Name, std::uint64_t After,
                       std::chrono::milliseconds Wait,
                       std::chrono::milliseconds Grace) {
  platform_request Request =
      makeRequest(http::verb::get,
                  pathOfObject(Name)
                      .addParameter("after", std::to_string(After))
                      .addParameter("wait_ms", std::to_string(Wait.count())));
  co_return objectFrom(
      co_await exchange(Loop, Options, Wait + Grace, std::move(Request)));
}

task<result<std::uint64_t>> platform_client::write(std::string Name,
                                                   std::uint64_t Expected,
                                                   std::string Body) {
  platform_request Request = makeRequest(http::verb::put, pathOfObject(Name));
  Request.set(view(IfVersionField), std::to_string(Expected));
  Request.body() = std::move(Body);
  Request.prepare_payload();
  const result<platform_response> Response =
      co_await exchange(Loop, Options, Options.CallTimeout, std::move(Request));
  if (!Response)
    co_return tl::unexpected(Response.error());
  if (Response->result() == http::status::conflict)
    co_return fail(error_kind::Conflict,
                   "object '" + Name + "' was changed by another writer",
                   "read the object again and repeat the change");
  if (Response->result() != http::status::ok)
    co_return unexpectedResponse(*Response);
  co_return versionOf(*Response);
}

task<result<std::vector<listed_vm>>> platform_client::listVms() {
  platform_request Request =
      makeRequest(http::verb::get, request_target("/vms"));
  const result<platform_response> Response =
      co_await exchange(Loop, Options, Options.CallTimeout, std::move(Request));
  if (!Response)
    co_return tl::unexpected(Response.error());
  if (Response->result() != http::status::ok)
    co_return unexpectedResponse(*Response);
  co_return decodeVmList(Response->body());
}

} // namespace peridot
