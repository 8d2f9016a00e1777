#include "transport/node/internal/rollout_store.h"

#include "state/base/hashing.h"

namespace peridot {

bool rollout_store::add(const std::string &Digest, std::string Json) {
  if (sha256Hex(Json) != Digest)
    return false;
  Documents[Digest] = std::move(Json);
  return true;
}

const std::string *rollout_store::find(const std::string &Digest) const {
  const auto Found = Documents.find(Digest);
  return Found == Documents.end() ? nullptr : &Found->second;
}

result<void> rollout_store::accept(const configuration_manifest &Offered) {
  if (Offered.Revision <= inForce())
    return {};
  std::vector<service_document> Parts;
  for (const manifest_entry &Entry : Offered.Documents) {
    const std::string *Json = find(Entry.Digest);
    if (!Json)
      return fail(error_kind::NotFound,
                  "document " + Entry.Digest + " is missing",
                  "publish the service files again");
    auto Part = decodeDocument(*Json);
    if (!Part)
      return tl::unexpected(Part.error());
    Parts.push_back(std::move(*Part));
  }
  auto Whole = assemble(Offered.Revision, Parts);
  if (!Whole)
    return tl::unexpected(Whole.error());
  const rollout_effect Effect =
      Machine.handle(configuration_received{std::move(*Whole)});
  if (const auto *Accepted = std::get_if<configuration_in_force>(&Effect)) {
    Manifest = Offered;
    dropUnnamed();
    Context.Snapshots.update([&](routing_snapshot &Snapshot) {
      Snapshot.Configuration = Accepted->Configuration;
    });
    record();
  }
  return {};
}

void rollout_store::record() const {
  Context.Decisions.record(
      {.Kind = decision_kind::ConfigurationAccepted,
       .Subject = subject_kind::Configuration,
       .Name = std::to_string(Manifest.Revision.Value),
       .Cause = "published by " + Manifest.Author + ": " + Manifest.Reason,
       .Evidence =
           std::to_string(Manifest.Documents.size()) + " service documents",
       .Rule = "only a higher revision is accepted"});
}

void rollout_store::dropUnnamed() {
  std::unordered_map<std::string, std::string> Kept;
  for (const manifest_entry &Entry : Manifest.Documents)
    if (auto Node = Documents.extract(Entry.Digest))
      Kept.insert(std::move(Node));
  Documents = std::move(Kept);
}

} // namespace peridot
