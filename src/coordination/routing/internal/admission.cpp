#include "coordination/routing/admission.h"

#include "state/base/hashing.h"

namespace peridot {

namespace {

/// Retry-After value while the first configuration is being loaded.
constexpr std::chrono::milliseconds NoConfigurationDelay{300};

refusal refuse(refusal_kind Kind, std::string Detail) {
  return {.Kind = Kind,
          .Outcome = request_outcome::NotRun,
          .Detail = std::move(Detail)};
}

admission authenticate(const routing_snapshot &Snapshot,
                       const request_head &Head, const route_match &Match) {
  if (!Head.Key)
    return refuse(refusal_kind::MissingKey, "the route needs a key");
  if (!Snapshot.KeysAreFresh)
    return refuse(refusal_kind::KeysNotFresh,
                  "this VM cannot tell which keys were revoked");
  const client_account *Account =
      Snapshot.Configuration->findAccountByKey(digestOfKey(*Head.Key));
  if (!Account)
    return refuse(refusal_kind::UnknownKey, "the key is not in force");
  if (!mayCall(*Account, Match.Service->Name))
    return refuse(refusal_kind::NotAllowed, "account " + Account->Name.str() +
                                                " may not call service " +
                                                Match.Service->Name.str());
  return admitted_request{Match.Service, Match.Route, Account};
}

} // namespace

admission decideAdmission(const routing_snapshot &Snapshot,
                          const request_head &Head) {
  if (!Snapshot.Configuration) {
    refusal Refusal = refuse(refusal_kind::NoConfiguration,
                             "this VM has no configuration yet");
    Refusal.RetryAfter = NoConfigurationDelay;
    return Refusal;
  }
  const route_match Match =
      Snapshot.Configuration->findRoute(Head.Host, Head.Method, Head.Path);
  if (!Match.Route)
    return refuse(refusal_kind::NoSuchRoute,
                  "no route for this method and path");
  if (Match.Route->IsOpen)
    return admitted_request{Match.Service, Match.Route, nullptr};
  return authenticate(Snapshot, Head, Match);
}

} // namespace peridot
