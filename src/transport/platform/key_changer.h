/// \file
/// Adds or revokes one key of an account in the configuration in force.
#pragma once

#include "coordination/publishing/key_change.h"
#include "transport/platform/configuration_publisher.h"

namespace peridot {

/// Replaces the one document that declares the account and updates `current` to
/// refer to it. Plans the change again if `current` changed in the meantime.
/// Safe to repeat.
task<result<publish_report>>
changeKey(platform_client &Platform, key_change Change, publish_intent Intent);

} // namespace peridot
