#include "gateway/catalog_feed.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "platform/catalog_codec.h"
#include "platform/json_access.h"
#include "platform/wire_names.h"

namespace fireflyslip {
namespace {

using boost::asio::awaitable;

/// Store outage after which upstream objects may have expired: less than the
/// three heartbeats after which the store removes a silent upstream.
constexpr milliseconds kExpiryOutage{1000};
/// Live upstreams register again within this time after the store recovers.
constexpr seconds kRegistrationGrace{2};
/// Time in which an operator can repeat an evacuation that a restored store has
/// lost.
constexpr seconds kEvacuationGrace{30};

/// Durations of the watches. The age of the key list must stay well below the
/// time after which a revoked key must not be accepted. Changes of upstreams
/// are reported at once; only an unresponsive connection is detected at the end
/// of a watch.
constexpr milliseconds kConfigurationWatch{2400};
constexpr seconds kUpstreamWatch{8};
/// Least delay of the first of them after the relay was lost; the longest is
/// twice as much. The store sends the whole configuration at each change, so
/// processes that find another relay meanwhile must not ask for it.
constexpr milliseconds kConfigurationWatchDelay{350};
/// Changes of upstreams arrive in bursts; a draining upstream must receive no
/// new requests after two seconds.
constexpr milliseconds kUpstreamBatchDelay{300};
/// Longest delay after a failed watch. Relays try more often, and report the
/// end of an outage.
constexpr milliseconds kMaxWatchBackoff{1500};
/// Delay between two reads of the configuration, so that one read returns
/// several successive versions; well below the time in which a version must be
/// in force.
constexpr milliseconds kConfigurationReadInterval{700};
/// Replicas register about a second after all processes have started. A list
/// that may be old is cheap.
constexpr int kMaxRelaySearches = 8;
constexpr milliseconds kRelaySearchInterval{800};
/// The store is asked for the configuration if the relay in use announces one,
/// but does not provide it for this time or up to twice as long.
constexpr milliseconds kConfigurationFallback{1000};
constexpr milliseconds kInitialReadBackoff{50};
constexpr milliseconds kMaxReadBackoff{600};

}  // namespace

catalog_feed::catalog_feed(boost::asio::io_context& context,
                           const node_settings& settings,
                           handlers callbacks,
                           std::uint64_t seed)
    : context_(context),
      data_centre_(settings.data_centre),
      store_(context, settings.platform),
      handlers_(std::move(callbacks)),
      random_(seed),
      timers_(context),
      registry_(upstream_registry(kExpiryOutage, kRegistrationGrace),
                timers_,
                [this](const upstream_registry::action& action) {
                  upstreams_ =
                      std::get<upstream_registry::publish>(action).upstreams;
                  if (evacuations_known_) {
                    handlers_.on_upstreams(upstreams_);
                  }
                  relay_.SetRelays(SelectRelays(*upstreams_, data_centre_));
                }),
      evacuations_(
          evacuation_registry(kEvacuationGrace),
          timers_,
          [this](const evacuation_registry::action& action) {
            SetEvacuations(
                std::get<evacuation_registry::publish>(action).data_centres);
          }),
      configuration_watch_(context,
                           settings.platform,
                           {platform::kConfigurationKind, kConfigurationWatch,
                            duration(0), kMaxWatchBackoff},
                           ConfigurationHandlers(),
                           seed + 1),
      upstream_watch_(context,
                      settings.platform,
                      {platform::kUpstreamKind, kUpstreamWatch,
                       kUpstreamBatchDelay, kMaxWatchBackoff},
                      UpstreamHandlers(),
                      seed + 2),
      version_watch_(context,
                     settings.platform,
                     {platform::kVersionKind, settings.VersionWatch(),
                      duration(0), kMaxWatchBackoff},
                     VersionHandlers(),
                     seed + 3),
      evacuation_watch_(context,
                        settings.platform,
                        {platform::kEvacuationKind, settings.EvacuationWatch(),
                         duration(0), kMaxWatchBackoff},
                        EvacuationHandlers(),
                        seed + 5),
      relay_(context,
             settings.data_centre,
             settings.RelayPort(),
             {},
             RelayHandlers(),
             seed + 4),
      follows_evacuations_(settings.evacuation_timeout.has_value()),
      evacuations_known_(!follows_evacuations_),
      version_age_(MonotonicNow(), settings.InitialVersionAge()) {
  timers_.SubscribePeriodic(change_age::kMaxObservationGap / 2,
                            [this] { version_age_.Observe(MonotonicNow()); });
  known_positions_.configuration.emplace();
  known_positions_.upstreams.emplace();
  known_positions_.versions.emplace();
  if (follows_evacuations_) {
    known_positions_.evacuations.emplace();
  }
}

void catalog_feed::Start() {
  boost::asio::co_spawn(context_, configuration_watch_.Run(),
                        boost::asio::detached);
  boost::asio::co_spawn(context_, upstream_watch_.Run(), boost::asio::detached);
  boost::asio::co_spawn(context_, version_watch_.Run(), boost::asio::detached);
  boost::asio::co_spawn(context_, evacuation_watch_.Run(),
                        boost::asio::detached);
  boost::asio::co_spawn(context_, FindRelays(), boost::asio::detached);
}

awaitable<void> catalog_feed::FindRelays() {
  const std::string kind = platform::kUpstreamKind;
  std::vector<std::string> relays;
  read_backoff backoff;
  for (int i = 0; i < kMaxRelaySearches && relays.empty(); ++i) {
    const time_point sent = MonotonicNow();
    const auto listed = co_await store_.List(kind, true, backoff.timeout());
    upstream_map upstreams;
    if (!IsOk(listed)) {
      LogLine("event=relay_search_failed reason=\"" + ErrorOf(listed).detail +
              "\"");
      const duration delay = backoff.RecordFailure(random_);
      co_await Sleep(delay);
      continue;
    }
    for (const platform::store_object& object : ValueOf(listed).objects) {
      auto entry = platform::DecodeUpstream(object.name, object.content);
      if (entry) {
        upstreams.emplace(entry->id, *entry);
      }
    }
    relays = SelectRelays(upstreams, data_centre_);
    LogLine(
        "event=relays_searched upstreams=" + std::to_string(upstreams.size()) +
        " relays=" + std::to_string(relays.size()) +
        " took_ms=" + std::to_string((MonotonicNow() - sent).count() / 1000));
    if (relays.empty()) {
      co_await Sleep(FromSeconds(ToSeconds(kRelaySearchInterval) *
                                 (1 + random_.Fraction()) / 2));
    }
  }
  if (!upstreams_listed_) {
    relay_.SetRelays(std::move(relays));
  }
}

awaitable<void> catalog_feed::ReadConfiguration() {
  reading_configuration_ = true;
  duration backoff = kInitialReadBackoff;
  const duration fallback =
      FromSeconds(ToSeconds(kConfigurationFallback) * (1 + random_.Fraction()));
  time_point last_read = MonotonicNow();
  while (!deployment_ || deployment_->version < announced_configuration_) {
    const bool may_ask_store = MonotonicNow() - last_read > fallback;
    const bool read = co_await ReadConfigurationOnce(may_ask_store);
    if (read || may_ask_store) {
      last_read = MonotonicNow();
    }
    if (read) {
      backoff = kInitialReadBackoff;
      co_await Sleep(kConfigurationReadInterval);
    } else {
      co_await Sleep(FromSeconds(ToSeconds(backoff) * random_.Fraction()));
      backoff = std::min<duration>(backoff * 2, kMaxReadBackoff);
    }
  }
  reading_configuration_ = false;
}

awaitable<bool> catalog_feed::ReadConfigurationOnce(bool may_ask_store) {
  const time_point sent = MonotonicNow();
  auto read = co_await relay_.ReadConfiguration(configuration_);
  if (IsOk(read)) {
    versioned_content changed = ValueOf(std::move(read));
    LogLine("event=configuration_read source=relay version=" +
            std::to_string(changed.id.version) + " took_ms=" +
            std::to_string((MonotonicNow() - sent).count() / 1000));
    const nlohmann::json content = platform::ParseJson(changed.text);
    ApplyConfiguration(content, std::move(changed.text));
    if (deployment_ && deployment_->version >= announced_configuration_) {
      co_return true;
    }
  }
  if (!may_ask_store) {
    co_return false;
  }
  const bool listed = co_await configuration_watch_.Refresh();
  co_return listed;
}

awaitable<void> catalog_feed::Sleep(duration length) {
  boost::asio::steady_timer timer(context_, length);
  boost::system::error_code ignored;
  co_await timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

void catalog_feed::SetFollowingStore(bool following) {
  if (following) {
    version_age_.RecordInterruption(MonotonicNow());
    configuration_watch_.Advance(*known_positions_.configuration);
    upstream_watch_.Advance(*known_positions_.upstreams);
    version_watch_.Advance(*known_positions_.versions);
    if (follows_evacuations_) {
      evacuation_watch_.Advance(*known_positions_.evacuations);
    }
  }
  follows_store_ = following;
  if (!following) {
    configuration_watch_.SetFollowing(false);
  } else if (!deployment_) {
    configuration_watch_.SetFollowing(true);
  } else {
    boost::asio::co_spawn(context_, FollowConfigurationLater(),
                          boost::asio::detached);
  }
  upstream_watch_.SetFollowing(following);
  version_watch_.SetFollowing(following);
  evacuation_watch_.SetFollowing(following && follows_evacuations_);
}

awaitable<void> catalog_feed::FollowConfigurationLater() {
  co_await Sleep(FromSeconds(ToSeconds(kConfigurationWatchDelay) *
                             (1 + random_.Fraction())));
  if (follows_store_) {
    configuration_watch_.SetFollowing(true);
  }
}

relay_client::handlers catalog_feed::RelayHandlers() {
  relay_client::handlers callbacks;
  callbacks.query = [this] { return known_positions_; };
  callbacks.on_answer = [this](const relay_answer& answer,
                               time_point query_sent) {
    OnRelayAnswer(answer, query_sent);
  };
  callbacks.on_watch_store = [this](bool watch) { SetFollowingStore(watch); };
  return callbacks;
}

void catalog_feed::OnRelayAnswer(const relay_answer& answer,
                                 time_point query_sent) {
  if (!answer.configuration || !answer.upstreams || !answer.versions) {
    return;
  }
  handlers_.on_platform_responded();
  if (follows_evacuations_) {
    // An older relay does not know the kind.
    evacuation_watch_.SetFollowing(!answer.evacuations);
    if (answer.evacuations &&
        answer.evacuations->position >= *known_positions_.evacuations) {
      const store_position at = answer.evacuations->position;
      const bool restored = known_positions_.evacuations->revision > 0 &&
                            at.era > known_positions_.evacuations->era;
      known_positions_.evacuations = at;
      evacuations_.Handle(evacuation_registry::listed{
          answer.evacuations->data_centres, restored});
    }
  }
  // A relay may know less than this process, which has followed another one.
  if (answer.upstreams->position >= *known_positions_.upstreams) {
    const store_position at = answer.upstreams->position;
    if (known_positions_.upstreams->revision > 0 &&
        at.era > known_positions_.upstreams->era) {
      LogLine(
          "event=store_restored kind=" + std::string(platform::kUpstreamKind) +
          " era=" + std::to_string(at.era) +
          " revision=" + std::to_string(at.revision));
    }
    if (known_positions_.upstreams->revision > 0 &&
        at.era > known_positions_.upstreams->era) {
      HandleUpstreams(upstream_registry::store_restored{});
    }
    known_positions_.upstreams = at;
    const relayed_outage outage = answer.outage.value_or(relayed_outage{});
    upstreams_listed_ = true;
    HandleUpstreams(
        upstream_registry::platform_responded{outage.length, outage.ended_for});
    if (answer.upstreams->complete) {
      upstream_registry::listed list;
      for (const upstream_change& change : answer.upstreams->changes) {
        if (change.entry) {
          list.entries.push_back(*change.entry);
        }
      }
      HandleUpstreams(std::move(list));
    } else {
      for (const upstream_change& change : answer.upstreams->changes) {
        ApplyUpstream(change, false);
      }
    }
  }
  // A watch of the store that is still in progress may return older changes.
  upstream_watch_.Advance(*known_positions_.upstreams);
  known_positions_.versions =
      std::max(*known_positions_.versions, answer.versions->position);
  // The answer may have been delayed by as much as the poll took.
  const time_point sent_by_relay = query_sent + answer.held;
  for (const auto& [model, relayed] : answer.versions->versions) {
    ApplyRelayedVersions(model, relayed, sent_by_relay);
  }
  version_age_.ConfirmCurrent(sent_by_relay - answer.versions->age);

  known_positions_.configuration =
      std::max(*known_positions_.configuration, answer.configuration->position);
  announced_configuration_ =
      std::max(announced_configuration_, answer.configuration->version);
  pending_confirmations_.Announce(
      answer.configuration->version,
      query_sent + answer.held - answer.configuration->age);
  ConfirmAnnounced();
  const bool is_newest =
      deployment_ && deployment_->version >= announced_configuration_;
  if (!is_newest && !reading_configuration_) {
    boost::asio::co_spawn(context_, ReadConfiguration(), boost::asio::detached);
  }
}

void catalog_feed::ConfirmAnnounced() {
  if (!deployment_) {
    return;
  }
  const auto confirmed =
      pending_confirmations_.TakeConfirmed(deployment_->version);
  if (confirmed) {
    ConfirmKeys(*confirmed);
  }
}

kind_watch::handlers catalog_feed::ConfigurationHandlers() {
  kind_watch::handlers callbacks;
  callbacks.on_response = [this](duration) {
    handlers_.on_platform_responded();
  };
  callbacks.on_list = [this](const platform::store_listing& listing) {
    for (const platform::store_object& object : listing.objects) {
      ApplyConfigurationObject(object);
    }
  };
  callbacks.on_change = [this](const platform::store_change& change) {
    if (!change.removed) {
      ApplyConfigurationObject(change.object);
    }
  };
  callbacks.on_confirmed = [this](const watch_freshness& freshness,
                                  const store_position& position) {
    known_positions_.configuration =
        std::max(*known_positions_.configuration, position);
    // The store confirms the newest version, whose content may not have been
    // read if a relay announced it.
    const std::uint64_t version = deployment_ ? deployment_->version : 0;
    pending_confirmations_.Announce(std::max(version, announced_configuration_),
                                    *freshness.current_as_of());
    ConfirmAnnounced();
  };
  return callbacks;
}

void catalog_feed::ConfirmKeys(time_point current_as_of) {
  if (!keys_current_as_of_ || current_as_of > *keys_current_as_of_) {
    keys_current_as_of_ = current_as_of;
    handlers_.on_keys_confirmed(current_as_of);
  }
}

kind_watch::handlers catalog_feed::UpstreamHandlers() {
  kind_watch::handlers callbacks;
  callbacks.on_response = [this](duration outage) {
    handlers_.on_platform_responded();
    HandleUpstreams(upstream_registry::platform_responded{outage});
  };
  callbacks.on_list = [this](const platform::store_listing& listing) {
    upstream_registry::listed list;
    std::set<upstream_id> malformed;
    for (const platform::store_object& object : listing.objects) {
      auto entry = platform::DecodeUpstream(object.name, object.content);
      if (entry) {
        list.entries.push_back(*std::move(entry));
        continue;
      }
      upstream_id id(object.name);
      if (!malformed_upstreams_.contains(id)) {
        LogLine("event=upstream_unreadable name=" + object.name +
                " bytes=" + std::to_string(object.content_bytes));
      }
      malformed.insert(std::move(id));
    }
    malformed_upstreams_ = std::move(malformed);
    upstreams_listed_ = true;
    if (known_positions_.upstreams->revision > 0 &&
        listing.position.era > known_positions_.upstreams->era) {
      HandleUpstreams(upstream_registry::store_restored{});
    }
    HandleUpstreams(std::move(list));
  };
  callbacks.on_change = [this](const platform::store_change& change) {
    upstream_change decoded{upstream_id(change.object.name), std::nullopt};
    if (!change.removed) {
      decoded.entry =
          platform::DecodeUpstream(change.object.name, change.object.content);
    }
    ApplyUpstream(decoded, !change.removed && !decoded.entry);
  };
  callbacks.on_confirmed = [this](const watch_freshness&,
                                  const store_position& position) {
    known_positions_.upstreams =
        std::max(*known_positions_.upstreams, position);
  };
  return callbacks;
}

void catalog_feed::ApplyUpstream(const upstream_change& change,
                                 bool unreadable) {
  const std::string& id = change.id.value();
  if (!change.entry) {
    LogLine("event=upstream_removed upstream=" + id +
            (unreadable ? " reason=unreadable" : " reason=left"));
    HandleUpstreams(upstream_registry::removed{change.id});
    return;
  }
  LogLine("event=upstream_changed upstream=" + id +
          " address=" + change.entry->address +
          " draining=" + (change.entry->draining ? "1" : "0") +
          " started_ms=" + std::to_string(change.entry->started_ms));
  HandleUpstreams(upstream_registry::changed{*change.entry});
}

kind_watch::handlers catalog_feed::VersionHandlers() {
  kind_watch::handlers callbacks;
  callbacks.on_response = [this](duration) {
    handlers_.on_platform_responded();
  };
  callbacks.on_list = [this](const platform::store_listing& listing) {
    for (const platform::store_object& object : listing.objects) {
      ApplyTargetVersion(object);
    }
  };
  callbacks.on_change = [this](const platform::store_change& change) {
    if (!change.removed) {
      ApplyTargetVersion(change.object);
    }
  };
  callbacks.on_failure = [this] {
    version_age_.RecordInterruption(MonotonicNow());
  };
  callbacks.on_confirmed = [this](const watch_freshness& freshness,
                                  const store_position& position) {
    version_age_.ConfirmCurrent(*freshness.current_as_of());
    known_positions_.versions = std::max(*known_positions_.versions, position);
  };
  return callbacks;
}

kind_watch::handlers catalog_feed::EvacuationHandlers() {
  kind_watch::handlers callbacks;
  callbacks.on_response = [this](duration) {
    handlers_.on_platform_responded();
  };
  callbacks.on_list = [this](const platform::store_listing& listing) {
    evacuation_registry::listed list;
    for (const platform::store_object& object : listing.objects) {
      list.data_centres.emplace(object.name);
    }
    list.restored = known_positions_.evacuations->revision > 0 &&
                    listing.position.era > known_positions_.evacuations->era;
    evacuations_.Handle(list);
  };
  callbacks.on_change = [this](const platform::store_change& change) {
    evacuations_.Handle(evacuation_registry::changed{
        data_centre_id(change.object.name), !change.removed});
  };
  callbacks.on_confirmed = [this](const watch_freshness&,
                                  const store_position& position) {
    known_positions_.evacuations =
        std::max(*known_positions_.evacuations, position);
  };
  return callbacks;
}

void catalog_feed::SetEvacuations(const evacuated_set& data_centres) {
  const auto log_difference = [](const evacuated_set& from,
                                 const evacuated_set& to, const char* state) {
    for (const data_centre_id& data_centre : to) {
      if (!from.contains(data_centre)) {
        LogLine("event=evacuation_" + std::string(state) +
                " data_centre=" + data_centre.value());
      }
    }
  };
  log_difference(evacuated_, data_centres, "started");
  log_difference(data_centres, evacuated_, "ended");
  evacuated_ = data_centres;
  const bool first = !std::exchange(evacuations_known_, true);
  handlers_.on_evacuations(evacuated_);
  if (first && upstreams_) {
    handlers_.on_upstreams(upstreams_);
  }
}

void catalog_feed::ApplyConfigurationObject(
    const platform::store_object& object) {
  if (object.name == platform::kConfigurationName) {
    const nlohmann::json content = platform::ParseJson(object.content);
    ApplyConfiguration(content, content.dump());
  }
}

void catalog_feed::ApplyConfiguration(const nlohmann::json& content,
                                      std::string text) {
  const time_point begun = MonotonicNow();
  result<deployment> decoded = platform::DecodeDeployment(content);
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
  const content_id id{deployment_->version, digest::Of(text)};
  configuration_ = {id, std::move(text)};
  LogLine("event=configuration_applied version=" +
          std::to_string(deployment_->version) +
          " routes=" + std::to_string(deployment_->routes.size()) +
          " keys=" + std::to_string(deployment_->keys.size()) + " took_ms=" +
          std::to_string((MonotonicNow() - begun).count() / 1000));
  handlers_.on_deployment(deployment_);
  ConfirmAnnounced();
}

void catalog_feed::ApplyTargetVersion(const platform::store_object& object) {
  const auto target = platform::DecodeTargetVersion(object.content);
  if (!target) {
    LogLine("event=version_unreadable name=" + object.name);
    return;
  }
  SetTargetVersion(
      target->model,
      {target->version, version_age_.EarliestChange(MonotonicNow())});
}

void catalog_feed::ApplyRelayedVersions(
    const model_name& model,
    const std::vector<relayed_version>& relayed,
    time_point sent_by_relay) {
  std::vector<version_publication> publications;
  publications.reserve(relayed.size());
  for (const relayed_version& published : relayed) {
    publications.push_back({published.version, sent_by_relay - published.age});
  }
  const std::vector<version_publication> learned =
      LearnPublications(target_versions_[model], publications, version_age_);
  if (!learned.empty() &&
      learned.front().version < publications.front().version) {
    LogLine("event=versions_missed model=" + model.value() +
            " newest=" + std::to_string(learned.front().version));
  }
  for (const version_publication& publication : learned) {
    SetTargetVersion(model, publication);
  }
}

void catalog_feed::SetTargetVersion(const model_name& model,
                                    const version_publication& publication) {
  std::uint64_t& known = target_versions_[model];
  if (publication.version <= known) {
    return;
  }
  known = publication.version;
  LogLine("event=version_named model=" + model.value() +
          " version=" + std::to_string(publication.version) + " max_age_ms=" +
          std::to_string((MonotonicNow() - publication.not_before) /
                         milliseconds(1)));
  handlers_.on_target_version(model, publication.version,
                              publication.not_before);
}

void catalog_feed::HandleUpstreams(const upstream_registry::event& event) {
  registry_.Handle(event);
}

}  // namespace fireflyslip
