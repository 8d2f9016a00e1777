/// \file
/// Stores documents at the platform and updates `current` to refer to them.
#pragma once

#include <span>

#include "coordination/publishing/publish_plan.h"
#include "transport/platform/platform_client.h"

namespace peridot {

/// Result of a publish.
struct publish_report {
  revision Revision;
  bool WasInForce = false; ///< An earlier attempt had taken effect.
};

/// Identifies a publish and records its author and reason.
struct publish_intent {
  std::string PublishId; ///< The same for all attempts of one publish.
  std::string Author;
  std::string Reason;
};

/// Publishes whole configurations.
class configuration_publisher {
public:
  explicit configuration_publisher(platform_client &Platform)
      : Platform(Platform) {}

  /// Puts exactly \p Documents in force. Fails with Conflict, and changes
  /// nothing, if another publish came in between.
  task<result<publish_report>> publish(std::vector<service_document> Documents,
                                       publish_intent Intent);

private:
  task<result<std::vector<manifest_entry>>>
  storeDocuments(std::span<const service_document> Documents);
  task<result<publish_report>> updateCurrent(publish_request Request);

  platform_client &Platform;
};

} // namespace peridot
