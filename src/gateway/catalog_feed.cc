#include "gateway/catalog_feed.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "platform/catalog_codec.h"
#include "platform/wire_names.h"

namespace fireflyslip {
namespace {

/// Store outage after which upstream objects may have expired: less than the
/// three heartbeats after which the store removes a silent upstream.
constexpr milliseconds kExpiryOutage{1000};
/// Live upstreams register again within this time after the store recovers.
constexpr seconds kRegistrationGrace{2};

/// Durations of the watches. The age of the key list must stay well below the
/// time after which a revoked key must not be accepted. Changes of upstreams
/// and versions are reported at once; only an unresponsive connection is
/// detected at the end of a watch.
constexpr milliseconds kConfigurationWatch{2400};
constexpr seconds kUpstreamWatch{8};
constexpr seconds kVersionWatch{15};
/// Changes of upstreams arrive in bursts; a draining upstream must receive no
/// new requests after two seconds.
constexpr milliseconds kUpstreamBatchDelay{300};

}  // namespace

catalog_feed::catalog_feed(boost::asio::io_context& context,
                           const node_settings& settings,
                           handlers callbacks,
                           std::uint64_t seed)
    : context_(context),
      handlers_(std::move(callbacks)),
      timers_(context),
      registry_(upstream_registry(kExpiryOutage, kRegistrationGrace),
                timers_,
                [this](const upstream_registry::action& action) {
                  handlers_.on_upstreams(
                      std::get<upstream_registry::publish>(action).upstreams);
                }),
      configuration_watch_(
          context,
          settings.platform,
          {platform::kConfigurationKind, kConfigurationWatch, duration(0)},
          ConfigurationHandlers(),
          seed + 1),
      upstream_watch_(
          context,
          settings.platform,
          {platform::kUpstreamKind, kUpstreamWatch, kUpstreamBatchDelay},
          UpstreamHandlers(),
          seed + 2),
      version_watch_(context,
                     settings.platform,
                     {platform::kVersionKind, kVersionWatch, duration(0)},
                     VersionHandlers(),
                     seed + 3) {}

void catalog_feed::Start() {
  boost::asio::co_spawn(context_, configuration_watch_.Run(),
                        boost::asio::detached);
  boost::asio::co_spawn(context_, upstream_watch_.Run(), boost::asio::detached);
  boost::asio::co_spawn(context_, version_watch_.Run(), boost::asio::detached);
}

kind_watch::handlers catalog_feed::ConfigurationHandlers() {
  kind_watch::handlers callbacks;
  callbacks.on_response = [](duration) {};
  callbacks.on_list = [this](const platform::store_listing& listing) {
    for (const platform::store_object& object : listing.objects) {
      ApplyConfiguration(object);
    }
  };
  callbacks.on_change = [this](const platform::store_change& change) {
    if (!change.removed) {
      ApplyConfiguration(change.object);
    }
  };
  callbacks.on_confirmed = [this](const watch_freshness& freshness) {
    keys_current_as_of_ = freshness.current_as_of();
    handlers_.on_keys_confirmed(*keys_current_as_of_);
  };
  return callbacks;
}

kind_watch::handlers catalog_feed::UpstreamHandlers() {
  kind_watch::handlers callbacks;
  callbacks.on_response = [this](duration outage) {
    HandleUpstreams(upstream_registry::platform_responded{outage});
  };
  callbacks.on_list = [this](const platform::store_listing& listing) {
    upstream_registry::listed list;
    for (const platform::store_object& object : listing.objects) {
      auto entry = platform::DecodeUpstream(object.name, object.content);
      if (entry) {
        list.entries.push_back(*std::move(entry));
      } else if (malformed_upstreams_.insert(upstream_id(object.name)).second) {
        LogLine("event=upstream_unreadable name=" + object.name);
      }
    }
    upstreams_listed_ = true;
    HandleUpstreams(std::move(list));
  };
  callbacks.on_change = [this](const platform::store_change& change) {
    const upstream_id id(change.object.name);
    auto entry = change.removed
                     ? std::nullopt
                     : platform::DecodeUpstream(change.object.name,
                                                change.object.content);
    if (!entry) {
      LogLine("event=upstream_removed upstream=" + id.value() +
              (change.removed ? " reason=left" : " reason=unreadable"));
      HandleUpstreams(upstream_registry::removed{id});
      return;
    }
    LogLine("event=upstream_changed upstream=" + id.value() + " address=" +
            entry->address + " draining=" + (entry->draining ? "1" : "0") +
            " started_ms=" + std::to_string(entry->started_ms));
    HandleUpstreams(upstream_registry::changed{*std::move(entry)});
  };
  callbacks.on_confirmed = [](const watch_freshness&) {};
  return callbacks;
}

kind_watch::handlers catalog_feed::VersionHandlers() {
  kind_watch::handlers callbacks;
  callbacks.on_response = [](duration) {};
  callbacks.on_list = [this](const platform::store_listing& listing) {
    for (const platform::store_object& object : listing.objects) {
      ApplyTargetVersion(object, !versions_listed_);
    }
    versions_listed_ = true;
  };
  callbacks.on_change = [this](const platform::store_change& change) {
    if (!change.removed) {
      ApplyTargetVersion(change.object, false);
    }
  };
  callbacks.on_confirmed = [](const watch_freshness&) {};
  return callbacks;
}

void catalog_feed::ApplyConfiguration(const platform::store_object& object) {
  if (object.name != platform::kConfigurationName) {
    return;
  }
  result<deployment> decoded = platform::DecodeDeployment(object.content);
  if (!IsOk(decoded)) {
    LogLine("event=configuration_rejected reason=\"" + ErrorOf(decoded).detail +
            "\"");
    return;
  }
  // A listing that was read before a change may contain an older version.
  if (deployment_ && ValueOf(decoded).version <= deployment_->version) {
    return;
  }
  deployment_ = std::make_shared<const deployment>(ValueOf(std::move(decoded)));
  LogLine("event=configuration_applied version=" +
          std::to_string(deployment_->version) +
          " routes=" + std::to_string(deployment_->routes.size()) +
          " keys=" + std::to_string(deployment_->keys.size()));
  handlers_.on_deployment(deployment_);
}

void catalog_feed::ApplyTargetVersion(const platform::store_object& object,
                                      bool at_start) {
  const auto target = platform::DecodeTargetVersion(object.content);
  if (!target) {
    LogLine("event=version_unreadable name=" + object.name);
    return;
  }
  LogLine("event=version_named model=" + target->model.value() +
          " version=" + std::to_string(target->version) +
          " at_start=" + (at_start ? "1" : "0"));
  handlers_.on_target_version(target->model, target->version, at_start);
}

void catalog_feed::HandleUpstreams(const upstream_registry::event& event) {
  registry_.Handle(event);
}

}  // namespace fireflyslip
