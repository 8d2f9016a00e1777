/// \file
/// Puts the change of one key in force.
#pragma once

#include "coordination/publishing/key_change.h"
#include "transport/platform/configuration_publisher.h"

namespace peridot {

/// Replaces the one document that declares the account and moves `current`, on
/// the condition that it has not changed; plans anew when it has. Safe to
/// repeat.
task<result<publish_report>>
changeKey(platform_client &Platform, key_change Change, publish_intent Intent);

} // namespace peridot
