#include "coordination/publishing/publish_plan.h"

namespace peridot {

publish_plan planPublish(const std::optional<configuration_manifest> &Current,
                         const publish_request &Request) {
  if (Current && Current->PublishId == Request.PublishId)
    return already_published{Current->Revision};
  const revision Last = Current ? Current->Revision : revision{};
  return manifest_to_write{{.Revision = Last.next(),
                            .PublishId = Request.PublishId,
                            .Author = Request.Author,
                            .Reason = Request.Reason,
                            .Documents = Request.Documents}};
}

} // namespace peridot
