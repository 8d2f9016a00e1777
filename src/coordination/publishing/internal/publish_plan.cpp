#include "coordination/publishing/publish_plan.h"

#include <algorithm>

namespace peridot {

publish_plan planPublish(const std::optional<configuration_manifest> &Current,
                         const publish_request &Request) {
  if (Current && Current->PublishId == Request.PublishId)
    return already_published{Current->Revision};
  const std::vector<key_digest> Revoked =
      Current ? Current->RevokedKeys : std::vector<key_digest>{};
  for (const key_digest &Digest : Request.Keys)
    if (std::ranges::find(Revoked, Digest) != Revoked.end())
      return revoked_key_listed{Digest};
  const revision Last = Current ? Current->Revision : revision{};
  return manifest_to_write{{.Revision = Last.next(),
                            .PublishId = Request.PublishId,
                            .Author = Request.Author,
                            .Reason = Request.Reason,
                            .Documents = Request.Documents,
                            .RevokedKeys = Revoked}};
}

} // namespace peridot
