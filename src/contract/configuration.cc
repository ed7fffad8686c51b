#include "fireflyslip/contract/configuration.h"

#include <algorithm>
#include <utility>

namespace fireflyslip {
namespace {

template <typename Map>
const typename Map::mapped_type* FindIn(const Map& map,
                                        const typename Map::key_type& key) {
  const auto found = map.find(key);
  return found == map.end() ? nullptr : &found->second;
}

const std::vector<upstream_id>& OrEmpty(const std::vector<upstream_id>* found) {
  static const std::vector<upstream_id> no_upstreams;
  return found == nullptr ? no_upstreams : *found;
}

}  // namespace

bool service_declaration::IsNonIdempotent(std::string_view method,
                                          std::string_view target) const {
  return std::any_of(non_idempotent.begin(), non_idempotent.end(),
                     [&](const call_pattern& pattern) {
                       return pattern.Matches(method, target);
                     });
}

configuration::configuration(configuration_parts parts)
    : parts_(std::move(parts)) {
  for (const auto& [data_centre, count] : parts_.entries) {
    entry_count_ += count;
  }
  for (const auto& [id, terms] : parts_.workspaces) {
    workspace_by_key_.emplace(terms.key_digest, id);
  }
  for (const auto& [id, upstream] : parts_.upstreams) {
    if (upstream.model.has_value()) {
      model_upstreams_[*upstream.model].push_back(id);
    }
    if (upstream.service.has_value()) {
      service_upstreams_[*upstream.service].push_back(id);
    }
  }
}

const workspace_id* configuration::FindWorkspace(
    const digest& key_digest) const {
  return FindIn(workspace_by_key_, key_digest);
}

const contract* configuration::Find(const workspace_id& id) const {
  return FindIn(parts_.workspaces, id);
}

const model_declaration* configuration::Find(const model_name& name) const {
  return FindIn(parts_.models, name);
}

const service_declaration* configuration::Find(const service_name& name) const {
  return FindIn(parts_.services, name);
}

const upstream_declaration* configuration::Find(const upstream_id& id) const {
  return FindIn(parts_.upstreams, id);
}

const std::vector<upstream_id>& configuration::UpstreamsOf(
    const model_name& name) const {
  return OrEmpty(FindIn(model_upstreams_, name));
}

const std::vector<upstream_id>& configuration::UpstreamsOf(
    const service_name& name) const {
  return OrEmpty(FindIn(service_upstreams_, name));
}

bool configuration::IsNonIdempotent(const service_name& service,
                                    std::string_view method,
                                    std::string_view target) const {
  const service_declaration* declaration = Find(service);
  return declaration == nullptr || declaration->IsNonIdempotent(method, target);
}

}  // namespace fireflyslip
