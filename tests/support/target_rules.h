/// \file
/// Checks what reached targets against two rules: a target that said that it
/// leaves gets no new requests, and one that asked for a pause gets almost
/// none until its end.
#pragma once

#include <optional>
#include <span>
#include <vector>

#include "support/run_records.h"

namespace peridot::test {

/// Time after a VM has passed on that a target leaves from which requests of
/// callers do not reach that target any more.
constexpr std::chrono::milliseconds DrainTime{2'000};
/// Time after a response that asks for a pause in which requests may still
/// arrive.
constexpr std::chrono::milliseconds PauseTolerance{500};
/// Maximum number of requests of a VM in a pause after PauseTolerance.
constexpr std::size_t MaxArrivalsInPause = 2;

/// One violation for each VM and process of a target that it sent a request to
/// although it had passed on, DrainTime before the caller sent the request,
/// that this process leaves. A restart or freeze of the VM since then excuses.
std::vector<violation> checkLeavingTargets(const run_records &Records);

/// One violation for each VM and process of a target that got more than
/// MaxArrivalsInPause requests from the VM in a pause that it asked this VM
/// for. A restart or freeze of the VM during the pause excuses, and so does a
/// cut from the platform or from this target.
std::vector<violation> checkPauses(const run_records &Records);

/// Number of responses passed on to callers in which a target says that it
/// leaves.
std::size_t countLeavingResponses(const run_records &Records);
/// Number of responses with a pause longer than PauseTolerance.
std::size_t countPauses(const run_records &Records);

} // namespace peridot::test
