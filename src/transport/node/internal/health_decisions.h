/// \file
/// Health decisions as entries of the journal.
#pragma once

#include "coordination/health/types/health_effects.h"
#include "state/journal/decision_journal.h"

namespace peridot {

/// The journal's entry for \p Decision; the time is left open.
decision journalEntryFor(const service_decision &Decision);

} // namespace peridot
