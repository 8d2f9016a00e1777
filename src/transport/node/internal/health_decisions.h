/// \file
/// Converts health decisions to journal entries.
#pragma once

#include "coordination/health/types/health_effects.h"
#include "state/journal/decision_journal.h"

namespace peridot {

/// Returns the journal entry for \p Decision; the caller sets its time.
decision journalEntryFor(const service_decision &Decision);

} // namespace peridot
