#include "state/journal/decision_journal.h"

#include <doctest/doctest.h>

using namespace peridot;

TEST_CASE("add_fullJournal_oldestDropped") {
  decision_journal Journal(2);
  for (const char *Name : {"a", "b", "c"})
    Journal.add({.Subject = subject_kind::Target, .Name = Name});
  CHECK(Journal.all().size() == 2);
  CHECK(Journal.findBySubject(subject_kind::Target, "a").empty());
  CHECK(Journal.findBySubject(subject_kind::Target, "c").size() == 1);
  CHECK(Journal.findBySubject(subject_kind::Account, "c").empty());
}
