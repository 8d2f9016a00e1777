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
  std::vector<service_document> ServiceDocuments;
  for (const manifest_entry &Entry : Offered.Documents) {
    const std::string *Json = find(Entry.Digest);
    if (!Json)
      return fail(error_kind::NotFound,
                  "document " + Entry.Digest + " is missing",
                  "publish the service files again");
    auto ServiceDocument = decodeDocument(*Json);
    if (!ServiceDocument)
      return tl::unexpected(ServiceDocument.error());
    ServiceDocuments.push_back(std::move(*ServiceDocument));
  }
  auto Assembled = assemble(Offered.Revision, ServiceDocuments);
  if (!Assembled)
    return tl::unexpected(Assembled.error());
  const rollout_effect Effect =
      Machine.handle(configuration_received{std::move(*Assembled)});
  if (const auto *Accepted = std::get_if<configuration_in_force>(&Effect)) {
    Manifest = Offered;
    dropUnreferenced();
    Context.Snapshots.update([&](routing_snapshot &Snapshot) {
      Snapshot.Configuration = Accepted->Configuration;
    });
    recordAccepted();
  }
  return {};
}

void rollout_store::recordAccepted() const {
  Context.Decisions.record(
      {.Kind = decision_kind::ConfigurationAccepted,
       .Subject = subject_kind::Configuration,
       .Name = std::to_string(Manifest.Revision.Value),
       .Cause = "published by " + Manifest.Author + ": " + Manifest.Reason,
       .Evidence =
           std::to_string(Manifest.Documents.size()) + " service documents",
       .Rule = "only a higher revision is accepted"});
}

void rollout_store::dropUnreferenced() {
  std::unordered_map<std::string, std::string> Kept;
  for (const manifest_entry &Entry : Manifest.Documents)
    if (auto Node = Documents.extract(Entry.Digest))
      Kept.insert(std::move(Node));
  Documents = std::move(Kept);
}

} // namespace peridot
