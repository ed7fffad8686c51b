#include "gateway/catalog_feed.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "platform/catalog_codec.h"
#include "platform/wire_names.h"

namespace fireflyslip {
namespace {

/// Silence after which entries may have lapsed while the store was away: less
/// than the three heartbeats after which the store removes a silent upstream.
constexpr milliseconds kOutage{1000};
/// Entries of upstreams that live are back within this time of the store's
/// return.
constexpr seconds kLapseGrace{2};

/// Lengths of the watches. The age of keys must stay far below the time after
/// which a revoked key must not be accepted; upstreams and versions are noticed
/// at once and only a silent connection is found at the end of a watch.
constexpr milliseconds kConfigurationWait{2400};
constexpr seconds kUpstreamWait{8};
constexpr seconds kVersionWait{15};
/// Changes of upstreams come in series; a leaving one must get no more work
/// after two seconds.
constexpr milliseconds kUpstreamBatch{300};

}  // namespace

catalog_feed::catalog_feed(boost::asio::io_context& context,
                           const node_settings& settings,
                           handlers on,
                           std::uint64_t seed)
    : context_(context),
      on_(std::move(on)),
      timers_(context),
      registry_(upstream_registry(kOutage, kLapseGrace),
                timers_,
                [this](const upstream_registry::action& action) {
                  on_.on_upstreams(
                      std::get<upstream_registry::publish>(action).upstreams);
                }),
      configurations_(
          context,
          settings.platform,
          {platform::kConfigurationKind, kConfigurationWait, duration(0)},
          ConfigurationHandlers(),
          seed + 1),
      upstreams_(context,
                 settings.platform,
                 {platform::kUpstreamKind, kUpstreamWait, kUpstreamBatch},
                 UpstreamHandlers(),
                 seed + 2),
      versions_(context,
                settings.platform,
                {platform::kVersionKind, kVersionWait, duration(0)},
                VersionHandlers(),
                seed + 3) {}

void catalog_feed::Start() {
  boost::asio::co_spawn(context_, configurations_.Run(), boost::asio::detached);
  boost::asio::co_spawn(context_, upstreams_.Run(), boost::asio::detached);
  boost::asio::co_spawn(context_, versions_.Run(), boost::asio::detached);
}

kind_watch::handlers catalog_feed::ConfigurationHandlers() {
  kind_watch::handlers on;
  on.on_contact = [](duration) {};
  on.on_list = [this](const platform::store_listing& listing) {
    for (const platform::store_object& object : listing.objects) {
      ReadConfiguration(object);
    }
  };
  on.on_change = [this](const platform::store_change& change) {
    if (!change.removed) {
      ReadConfiguration(change.object);
    }
  };
  on.on_confirmed = [this](const watch_freshness& freshness) {
    keys_known_ = freshness.current_as_of();
    on_.on_keys_confirmed(*keys_known_);
  };
  return on;
}

kind_watch::handlers catalog_feed::UpstreamHandlers() {
  kind_watch::handlers on;
  on.on_contact = [this](duration silence) {
    HandleUpstreams(upstream_registry::platform_responded{silence});
  };
  on.on_list = [this](const platform::store_listing& listing) {
    upstream_registry::listed list;
    for (const platform::store_object& object : listing.objects) {
      auto entry = platform::DecodeUpstream(object.name, object.content);
      if (entry) {
        list.entries.push_back(*std::move(entry));
      } else if (unreadable_.insert(upstream_id(object.name)).second) {
        LogLine("event=upstream_unreadable name=" + object.name);
      }
    }
    upstreams_known_ = true;
    HandleUpstreams(std::move(list));
  };
  on.on_change = [this](const platform::store_change& change) {
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
  on.on_confirmed = [](const watch_freshness&) {};
  return on;
}

kind_watch::handlers catalog_feed::VersionHandlers() {
  kind_watch::handlers on;
  on.on_contact = [](duration) {};
  on.on_list = [this](const platform::store_listing& listing) {
    for (const platform::store_object& object : listing.objects) {
      ReadVersion(object, !versions_known_);
    }
    versions_known_ = true;
  };
  on.on_change = [this](const platform::store_change& change) {
    if (!change.removed) {
      ReadVersion(change.object, false);
    }
  };
  on.on_confirmed = [](const watch_freshness&) {};
  return on;
}

void catalog_feed::ReadConfiguration(const platform::store_object& object) {
  if (object.name != platform::kConfigurationName) {
    return;
  }
  result<deployment> decoded = platform::DecodeDeployment(object.content);
  if (!IsOk(decoded)) {
    LogLine("event=configuration_rejected reason=\"" + ErrorOf(decoded).detail +
            "\"");
    return;
  }
  // An older version may come from a list that was read before a change.
  if (deployment_ && ValueOf(decoded).version <= deployment_->version) {
    return;
  }
  deployment_ = std::make_shared<const deployment>(ValueOf(std::move(decoded)));
  LogLine("event=configuration_applied version=" +
          std::to_string(deployment_->version) +
          " routes=" + std::to_string(deployment_->routes.size()) +
          " keys=" + std::to_string(deployment_->keys.size()));
  on_.on_deployment(deployment_);
}

void catalog_feed::ReadVersion(const platform::store_object& object,
                               bool at_start) {
  const auto named = platform::DecodeTargetVersion(object.content);
  if (!named) {
    LogLine("event=version_unreadable name=" + object.name);
    return;
  }
  LogLine("event=version_named model=" + named->model.value() +
          " version=" + std::to_string(named->version) +
          " at_start=" + (at_start ? "1" : "0"));
  on_.on_version(named->model, named->version, at_start);
}

void catalog_feed::HandleUpstreams(const upstream_registry::event& event) {
  registry_.Handle(event);
}

}  // namespace fireflyslip
