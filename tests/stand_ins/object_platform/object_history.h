/// \file
/// State of the object platform's stand-in: objects by kind and name, and the
/// event history for watches.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/json/value.hpp>

namespace peridot::stand_in {

class object_history {
public:
  using json_value = boost::json::value;

  /// Creates an object; returns nullopt if the name exists already.
  std::optional<json_value> create(const std::string &Kind, json_value Object);
  /// Stores an object under \p Name, whether or not it exists already.
  json_value replace(const std::string &Kind, const std::string &Name,
                     json_value Object);
  /// \returns false if the object does not exist.
  bool remove(const std::string &Kind, const std::string &Name);
  const json_value *find(const std::string &Kind,
                         const std::string &Name) const;

  /// Some of the objects of a kind, in the order of their names.
  struct page {
    std::vector<json_value> Items;
    bool HasMore = false; ///< Whether objects follow the last one.
  };
  /// Returns the objects whose names follow \p After, at most \p MaxItems.
  page list(const std::string &Kind, const std::string &After,
            std::size_t MaxItems) const;
  /// Returns the events of a kind after a revision; nullopt if the history
  /// since then was discarded.
  std::optional<std::vector<json_value>> events(const std::string &Kind,
                                                std::uint64_t After) const;
  std::uint64_t revision() const { return Revision; }
  /// Discards all events; a watch from an earlier revision then fails.
  void discardHistory();

private:
  struct event {
    std::uint64_t Revision = 0;
    std::string Kind;
    json_value Object;
    bool IsDeleted = false;
  };

  json_value store(const std::string &Kind, const std::string &Name,
                   json_value Object);

  std::uint64_t Revision = 1;
  std::uint64_t DiscardedUntil = 0;
  std::map<std::string, std::map<std::string, json_value>> Kinds;
  std::deque<event> Events;
};

} // namespace peridot::stand_in
