/// \file
/// Digest of everything that decides how a VM's hosting machine goes on.
#pragma once

#include <array>
#include <bit>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "coordination/hosting/hosting_machine.h"

namespace peridot {

/// Adds up values in the order of the calls. Equal digests stand for equal
/// states; every member of the machine and of its parts is added, except for
/// options that are constant and members that follow from others.
struct state_digest {
  std::uint64_t Value = 0x9e3779b97f4a7c15;

  void add(std::uint64_t Number);
  void add(double Number) { add(std::bit_cast<std::uint64_t>(Number)); }
  void add(std::string_view Text);
  void add(instant Time) {
    add(static_cast<std::uint64_t>(Time.time_since_epoch().count()));
  }
  void add(duration Time) { add(static_cast<std::uint64_t>(Time.count())); }
  void add(const hosting_machine &Machine);
  void add(const host_message &Message);

private:
  template <typename Tag> void add(const strong_name<Tag> &Name) {
    add(Name.view());
  }
  template <typename T> void add(const std::optional<T> &Maybe) {
    add(std::uint64_t{Maybe.has_value()});
    if (Maybe)
      add(*Maybe);
  }
  template <typename T> void add(const std::vector<T> &List) {
    add(std::uint64_t{List.size()});
    for (const T &Each : List)
      add(Each);
  }
  template <typename K, typename V> void add(const std::map<K, V> &Table) {
    add(std::uint64_t{Table.size()});
    for (const auto &[Key, Entry] : Table) {
      add(Key);
      add(Entry);
    }
  }
  void add(bool Flag) { add(std::uint64_t{Flag}); }
  void add(unsigned Number) { add(std::uint64_t{Number}); }
  void add(const rate_limit &Limit);
  void add(const account_demand &Demand);
  void add(const account_weight &Weight);
  void add(const data_center_hosts &Hosts);
  void add(const fleet_hosts &Fleet);
  void add(const host_report &Report);
  void add(const data_center_report &Report);
  void add(const evidence_batch & /*Batch*/) {}
  void add(const reserve_request &Request);
  void add(const reserve_grant &Grant);
  void add(const host_election &Election);
  void add(const host_election::known_vm &Known);
  void add(const host_election::reported_data_center &Reported);
  void add(const demand_shares &Demands);
  void add(const demand_shares::reported_demand &Reported);
  void add(const demand_shares::reported_data_center &Reported);
  void add(const demand_shares::fraction_in_use &Fraction);
  void add(const demand_shares::limit_in_use &InUse);
  void add(const view_agreement &Views);
  void add(const view_agreement::reported_version &Reported);
  void add(const account_buckets &Buckets);
  void add(const account_buckets::token_bucket &Bucket);
  void add(const account_buckets::bucket &Bucket);
  void add(const sliding_count &Count);
};

} // namespace peridot
