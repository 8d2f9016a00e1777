/// \file
/// JSON encoding of the objects that are stored in the platform's service.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "state/base/types/error.h"
#include "state/configuration/types/configuration_manifest.h"
#include "state/configuration/types/service_document.h"

namespace peridot {

/// Name of the object with the manifest of the configuration in force.
inline constexpr std::string_view CurrentObjectName = "current";

/// Returns the name of the immutable object that holds the document with
/// \p Digest.
std::string documentObjectName(std::string_view Digest);

/// State of a VM in the platform's list, which lags behind the fleet.
enum class vm_list_state { Live, Leaving };

/// Operator port of a VM whose row has none.
inline constexpr std::uint16_t DefaultOperatorPort = 8082;

/// One row of the platform's list of VMs.
struct listed_vm {
  vm_name Name;
  data_center_name DataCenter;
  std::string Address; ///< IP address.
  std::uint16_t CallerPort = 0;
  std::uint16_t PeerPort = 0;
  std::uint16_t OperatorPort = DefaultOperatorPort;
  vm_list_state State = vm_list_state::Live;

  bool operator==(const listed_vm &) const = default;
};

std::string encodeDocument(const service_document &Document);
result<service_document> decodeDocument(std::string_view Json);

std::string encodeManifest(const configuration_manifest &Manifest);
result<configuration_manifest> decodeManifest(std::string_view Json);

std::string encodeVmList(std::span<const listed_vm> Vms);
/// Decodes a list of VMs without the rows that cannot be decoded. Fails with
/// Protocol if \p Json is not a list.
result<std::vector<listed_vm>> decodeVmList(std::string_view Json);

} // namespace peridot
