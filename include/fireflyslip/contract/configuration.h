#ifndef FIREFLYSLIP_CONTRACT_CONFIGURATION_H_
#define FIREFLYSLIP_CONTRACT_CONFIGURATION_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "fireflyslip/contract/contract.h"
#include "fireflyslip/contract/declarations.h"
#include "fireflyslip/core/ids.h"

namespace fireflyslip {

/// \brief The declarations that make up a configuration.
struct configuration_parts {
  std::string change_id;  ///< Identifies the update that wrote the object.
  /// Number of entries of each data centre.
  std::map<data_centre_id, std::uint32_t> entries;
  std::map<workspace_id, contract> workspaces;
  std::map<model_name, model_declaration> models;
  std::map<service_name, service_declaration> services;
  std::map<upstream_id, upstream_declaration> upstreams;

  bool operator==(const configuration_parts&) const = default;
};

/// \brief Immutable configuration of the fleet, indexed for lookups in the
/// request path.
class configuration {
 public:
  configuration() = default;

  /// \brief Indexes parts that `CheckConfiguration()` has accepted.
  explicit configuration(configuration_parts parts);

  const std::string& change_id() const { return parts_.change_id; }
  const std::map<data_centre_id, std::uint32_t>& entries() const {
    return parts_.entries;
  }
  const std::map<workspace_id, contract>& workspaces() const {
    return parts_.workspaces;
  }
  const std::map<model_name, model_declaration>& models() const {
    return parts_.models;
  }
  const std::map<service_name, service_declaration>& services() const {
    return parts_.services;
  }
  const std::map<upstream_id, upstream_declaration>& upstreams() const {
    return parts_.upstreams;
  }
  const configuration_parts& parts() const { return parts_; }

  /// \brief Number of declared entries in all data centres.
  std::uint32_t EntryCount() const { return entry_count_; }

  /// \brief Returns the workspace whose caller key has this digest, or null.
  const workspace_id* FindWorkspace(const digest& key_digest) const;

  /// \brief Returns the named contract or declaration, or null.
  const contract* Find(const workspace_id& id) const;
  const model_declaration* Find(const model_name& name) const;
  const service_declaration* Find(const service_name& name) const;
  const upstream_declaration* Find(const upstream_id& id) const;

  /// \brief Returns the declared upstreams, sorted by name; empty for an
  /// unknown name.
  const std::vector<upstream_id>& UpstreamsOf(const model_name& name) const;
  const std::vector<upstream_id>& UpstreamsOf(const service_name& name) const;

  /// \brief Whether a call must not be repeated. Calls of an undeclared service
  /// count as non-idempotent.
  bool IsNonIdempotent(const service_name& service,
                       std::string_view method,
                       std::string_view target) const;

  bool operator==(const configuration& other) const {
    return parts_ == other.parts_;
  }

 private:
  configuration_parts parts_;
  std::uint32_t entry_count_ = 0;
  std::map<digest, workspace_id> workspace_by_key_;
  std::map<model_name, std::vector<upstream_id>> model_upstreams_;
  std::map<service_name, std::vector<upstream_id>> service_upstreams_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CONTRACT_CONFIGURATION_H_
