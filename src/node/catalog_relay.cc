#include "node/catalog_relay.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "node/compression.h"
#include "node/configuration_message.h"
#include "node/relay_client.h"
#include "platform/catalog_codec.h"
#include "platform/json_access.h"
#include "platform/wire_names.h"

namespace fireflyslip {
namespace {

using boost::asio::awaitable;

constexpr int kStatusNotFound = 404;
constexpr int kStatusBusy = 503;
/// Fraction of the time in which a draining upstream must be known to all that
/// a watch of the upstreams may last.
constexpr double kUpstreamWatchFraction = 0.4;
/// The age of the configuration is at most two watches, because a watch that
/// returns a change proves only that the state was current when it was sent.
/// With the hold time of a poll it must be below the key revocation timeout.
constexpr double kConfigurationWatchFraction = 0.34;
/// The same for the delay between two watches; changes of upstreams arrive in
/// bursts.
constexpr double kUpstreamBatchFraction = 0.15;
/// Time that a response of the store may take; a slow store takes up to 0.3 s.
constexpr milliseconds kResponseTime{400};
constexpr double kBytesPerMegabit = 125'000;
/// Fraction of the link of the VM for whole configurations, which all processes
/// of a data centre read when they start.
constexpr double kContentLinkFraction = 0.5;
/// Longest wait for the link, within the timeout of the reader.
constexpr milliseconds kMaxLinkWait{2500};
/// The store is watched for this long after a poll.
constexpr seconds kIdleTimeout{5};
constexpr seconds kIdleCheckInterval{1};
/// Time for which the end of an outage is reported: polls arrive more often,
/// and entries that expired meanwhile are back within two seconds.
constexpr seconds kOutageReportTime{2};

duration Scale(duration value, double factor) {
  return FromSeconds(ToSeconds(value) * factor);
}

}  // namespace

catalog_relay::watch_durations::watch_durations(const node_settings& settings)
    : configuration(
          Scale(settings.key_revocation_timeout, kConfigurationWatchFraction)),
      upstreams(Scale(settings.upstream_drain_timeout, kUpstreamWatchFraction)),
      upstream_batch(
          Scale(settings.upstream_drain_timeout, kUpstreamBatchFraction)),
      versions(settings.VersionWatch()),
      evacuations(settings.EvacuationWatch()) {}

catalog_relay::catalog_relay(boost::asio::io_context& context,
                             const node_settings& settings,
                             std::uint64_t seed)
    : context_(context),
      durations_(settings),
      superseded_after_(settings.SupersededAfter()),
      data_centre_(settings.data_centre),
      timers_(context),
      server_(context,
              BodilessRequestLimits(),
              [this](http_request request, response_writer& writer) {
                return Serve(std::move(request), writer);
              }),
      configuration_watch_(
          context,
          settings.platform,
          {platform::kConfigurationKind, durations_.configuration, duration(0)},
          ConfigurationHandlers(),
          seed + 1),
      upstream_watch_(context,
                      settings.platform,
                      {platform::kUpstreamKind, durations_.upstreams,
                       durations_.upstream_batch},
                      UpstreamHandlers(),
                      seed + 2),
      version_watch_(context,
                     settings.platform,
                     {platform::kVersionKind, durations_.versions, duration(0)},
                     VersionHandlers(),
                     seed + 3),
      evacuation_watch_(
          context,
          settings.platform,
          {platform::kEvacuationKind, durations_.evacuations, duration(0)},
          EvacuationHandlers(),
          seed + 4),
      content_pacer_(settings.link_mbps * kBytesPerMegabit *
                     kContentLinkFraction),
      version_age_(MonotonicNow(), settings.InitialVersionAge()) {
  timers_.SubscribePeriodic(change_age::kMaxObservationGap / 2,
                            [this] { version_age_.Observe(MonotonicNow()); });
  timers_.SubscribePeriodic(kIdleCheckInterval, [this] { StopIfIdle(); });
}

result<unsigned short> catalog_relay::Listen(const http_endpoint& endpoint) {
  for (kind_watch* watch : {&configuration_watch_, &upstream_watch_,
                            &version_watch_, &evacuation_watch_}) {
    boost::asio::co_spawn(context_, watch->Run(), boost::asio::detached);
  }
  return server_.Listen(endpoint);
}

kind_watch::handlers catalog_relay::ConfigurationHandlers() {
  kind_watch::handlers callbacks;
  callbacks.on_response = [](duration) {};
  callbacks.on_list = [this](const platform::store_listing& listing) {
    for (const platform::store_object& object : listing.objects) {
      SetConfiguration(object);
    }
  };
  callbacks.on_change = [this](const platform::store_change& change) {
    if (!change.removed) {
      SetConfiguration(change.object);
    }
  };
  callbacks.on_confirmed = [this](const watch_freshness& freshness,
                                  const store_position& position) {
    configuration_freshness_ = freshness;
    configuration_confirmed_ = MonotonicNow();
    const bool changed = configuration_position_.revision == 0 ||
                         position.era > configuration_position_.era;
    if (changed && configuration_.newest().id.version > 0) {
      configuration_position_ = position;
    }
    WakeWaiters();
  };
  return callbacks;
}

void catalog_relay::SetConfiguration(const platform::store_object& object) {
  if (object.name != platform::kConfigurationName) {
    return;
  }
  const nlohmann::json content = platform::ParseJson(object.content);
  const auto version = platform::FindUnsigned(content, "version");
  if (version && *version > configuration_.newest().id.version) {
    configuration_.Set(*version, content.dump());
    compressed_configuration_.clear();
    encoded_configuration_.clear();
    compressed_services_.clear();
    configuration_position_.revision = 0;  // set when the response is complete
  }
}

kind_watch::handlers catalog_relay::UpstreamHandlers() {
  kind_watch::handlers callbacks;
  callbacks.on_response = [this](duration outage) {
    if (outage.count() > 0) {
      outage_ = outage;
      outage_ended_ = MonotonicNow();
    }
  };
  callbacks.on_list = [this](const platform::store_listing& listing) {
    pending_changes_.clear();
    pending_list_.emplace();
    for (const platform::store_object& object : listing.objects) {
      auto entry = platform::DecodeUpstream(object.name, object.content);
      if (entry) {
        pending_list_->push_back(*std::move(entry));
      }
    }
  };
  callbacks.on_change = [this](const platform::store_change& change) {
    pending_changes_.push_back(
        {upstream_id(change.object.name),
         change.removed ? std::nullopt
                        : platform::DecodeUpstream(change.object.name,
                                                   change.object.content)});
  };
  callbacks.on_confirmed = [this](const watch_freshness&,
                                  const store_position& position) {
    if (pending_list_) {
      upstreams_.Replace(*pending_list_, position);
      pending_list_.reset();
    }
    upstreams_.Apply(pending_changes_, position);
    pending_changes_.clear();
    relays_.clear();
    upstreams_confirmed_ = MonotonicNow();
    WakeWaiters();
  };
  return callbacks;
}

kind_watch::handlers catalog_relay::VersionHandlers() {
  kind_watch::handlers callbacks;
  callbacks.on_response = [](duration) {};
  callbacks.on_list = [this](const platform::store_listing& listing) {
    for (const platform::store_object& object : listing.objects) {
      SetVersion(object);
    }
  };
  callbacks.on_change = [this](const platform::store_change& change) {
    if (!change.removed) {
      SetVersion(change.object);
    }
  };
  callbacks.on_failure = [this] {
    version_age_.RecordInterruption(MonotonicNow());
  };
  callbacks.on_confirmed = [this](const watch_freshness& freshness,
                                  const store_position& position) {
    version_age_.ConfirmCurrent(*freshness.current_as_of());
    versions_confirmed_ = MonotonicNow();
    if (versions_position_.revision == 0 ||
        position.era > versions_position_.era) {
      versions_position_ = position;
    }
    WakeWaiters();
  };
  return callbacks;
}

kind_watch::handlers catalog_relay::EvacuationHandlers() {
  kind_watch::handlers callbacks;
  callbacks.on_response = [](duration) {};
  callbacks.on_list = [this](const platform::store_listing& listing) {
    evacuated_.clear();
    for (const platform::store_object& object : listing.objects) {
      evacuated_.emplace(object.name);
    }
    evacuations_position_.revision = 0;  // set when the response is complete
  };
  callbacks.on_change = [this](const platform::store_change& change) {
    const data_centre_id data_centre(change.object.name);
    if (change.removed) {
      evacuated_.erase(data_centre);
    } else {
      evacuated_.insert(data_centre);
    }
    evacuations_position_.revision = 0;  // set when the response is complete
  };
  callbacks.on_confirmed = [this](const watch_freshness&,
                                  const store_position& position) {
    evacuations_confirmed_ = MonotonicNow();
    if (evacuations_position_.revision == 0) {
      evacuations_position_ = position;
    }
    WakeWaiters();
  };
  return callbacks;
}

void catalog_relay::SetVersion(const platform::store_object& object) {
  const auto target = platform::DecodeTargetVersion(object.content);
  if (!target) {
    return;
  }
  const time_point now = MonotonicNow();
  version_history& history = versions_[target->model];
  if (history.Add({target->version, version_age_.EarliestChange(now)})) {
    history.RemoveSupersededBy(now - superseded_after_);
    versions_position_.revision = 0;  // set when the response is complete
  }
}

awaitable<void> catalog_relay::Serve(http_request request,
                                     response_writer& writer) {
  if (request.path() == kConfigurationPath) {
    co_await ServeConfiguration(writer);
    co_return;
  }
  if (request.path() == kConfigurationChangesPath) {
    co_await ServeConfigurationChanges(request.target, writer);
    co_return;
  }
  if (request.path() == kServicesPath) {
    co_await ServeServices(writer);
    co_return;
  }
  const time_point received = MonotonicNow();
  std::optional<relay_query> query = ParseRelayTarget(request.target);
  http_response response;
  if (!query) {
    response.status = kStatusNotFound;
    co_await writer.Send(std::move(response));
    co_return;
  }
  Activate();
  if (!query->states_eras) {
    AdoptEras(*query);
  }
  co_await WaitForChanges(*query, received + query->hold);
  response.body = EncodeRelayAnswer(Answer(*query, received));
  co_await writer.Send(std::move(response));
}

awaitable<void> catalog_relay::ServeConfiguration(response_writer& writer) {
  http_response response;
  const versioned_content& newest = configuration_.newest();
  if (newest.id.version == 0) {
    response.status = kStatusNotFound;
  } else {
    if (compressed_configuration_.empty()) {
      compressed_configuration_ = Compress(newest.text);
    }
    response.body = compressed_configuration_;
  }
  co_await writer.Send(std::move(response));
}

awaitable<void> catalog_relay::ServeConfigurationChanges(
    std::string_view target,
    response_writer& writer) {
  const auto known = ParseConfigurationChangesTarget(target);
  http_response response;
  if (!known || configuration_.newest().id.version == 0) {
    response.status = kStatusNotFound;
  } else if (configuration_.HasChangesSince(*known)) {
    response.body = EncodeConfigurationChanges(configuration_.Since(*known));
  } else {
    if (encoded_configuration_.empty()) {
      encoded_configuration_ =
          EncodeConfigurationChanges(configuration_.Since({}));
    }
    // The configuration may change while the link is awaited.
    std::string body = encoded_configuration_;
    const bool has_link = co_await AwaitLink(body.size());
    if (has_link) {
      response.body = std::move(body);
    } else {
      response.status = kStatusBusy;
    }
  }
  co_await writer.Send(std::move(response));
}

awaitable<void> catalog_relay::ServeServices(response_writer& writer) {
  http_response response;
  if (configuration_.newest().id.version == 0) {
    response.status = kStatusNotFound;
  } else {
    if (compressed_services_.empty()) {
      compressed_services_ =
          Compress(platform::SelectServices(
                       platform::ParseJson(configuration_.newest().text))
                       .dump());
    }
    response.body = compressed_services_;
  }
  co_await writer.Send(std::move(response));
}

awaitable<bool> catalog_relay::AwaitLink(std::size_t bytes) {
  const time_point now = MonotonicNow();
  const auto begin = content_pacer_.Reserve(bytes, now, kMaxLinkWait);
  if (!begin) {
    co_return false;
  }
  boost::asio::steady_timer timer(context_, *begin - now);
  boost::system::error_code ignored;
  co_await timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  co_return true;
}

awaitable<void> catalog_relay::WaitForChanges(const relay_query& query,
                                              time_point deadline) {
  const bool was_fresh = FreshUntil(query, MonotonicNow()).has_value();
  for (;;) {
    const time_point now = MonotonicNow();
    const std::optional<time_point> fresh_until = FreshUntil(query, now);
    // A poll that arrives while the view is stale is held until it is current;
    // one that is held is answered when the view becomes stale.
    if (now >= deadline || (fresh_until && HasChangesAfter(query)) ||
        fresh_until.has_value() != was_fresh) {
      co_return;
    }
    boost::asio::steady_timer timer(
        context_, std::min(deadline, fresh_until.value_or(deadline)) - now);
    waiters_.insert(&timer);
    boost::system::error_code ignored;
    co_await timer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    waiters_.erase(&timer);
  }
}

void catalog_relay::Activate() {
  active_until_ = MonotonicNow() + kIdleTimeout;
  if (!active_) {
    active_ = true;
    LogLine("event=relay_started");
    version_age_.RecordInterruption(MonotonicNow());
    SetFollowing(true);
  }
}

void catalog_relay::StopIfIdle() {
  if (active_ && MonotonicNow() > active_until_) {
    active_ = false;
    LogLine("event=relay_stopped reason=idle");
    SetFollowing(false);
  }
}

void catalog_relay::SetFollowing(bool following) {
  configuration_watch_.SetFollowing(following);
  upstream_watch_.SetFollowing(following);
  version_watch_.SetFollowing(following);
  evacuation_watch_.SetFollowing(following && watches_evacuations());
}

void catalog_relay::WakeWaiters() {
  for (boost::asio::steady_timer* waiter : waiters_) {
    waiter->cancel();
  }
}

bool catalog_relay::HasChangesAfter(const relay_query& query) const {
  return (query.configuration &&
          configuration_position_ > *query.configuration) ||
         (query.upstreams && upstreams_.HasChangesAfter(*query.upstreams)) ||
         (query.versions && versions_position_ > *query.versions) ||
         (watches_evacuations() && query.evacuations &&
          evacuations_position_ > *query.evacuations);
}

std::optional<time_point> catalog_relay::FreshUntil(time_point now) const {
  if (!configuration_confirmed_ || !upstreams_confirmed_ ||
      !versions_confirmed_ || configuration_position_.revision == 0 ||
      versions_position_.revision == 0) {
    return std::nullopt;
  }
  if (watches_evacuations() &&
      (!evacuations_confirmed_ || evacuations_position_.revision == 0)) {
    return std::nullopt;
  }
  time_point until =
      kResponseTime +
      std::min({*configuration_confirmed_ + durations_.configuration,
                *upstreams_confirmed_ + durations_.upstream_batch +
                    durations_.upstreams,
                *versions_confirmed_ + durations_.versions});
  if (watches_evacuations()) {
    until = std::min(until, kResponseTime + *evacuations_confirmed_ +
                                durations_.evacuations);
  }
  if (until <= now) {
    return std::nullopt;
  }
  return until;
}

std::optional<time_point> catalog_relay::FreshUntil(const relay_query& query,
                                                    time_point now) const {
  const auto is_older = [](const store_position& position,
                           const std::optional<store_position>& known) {
    return known && position.era < known->era;
  };
  if (is_older(configuration_position_, query.configuration) ||
      is_older(upstreams_.position(), query.upstreams) ||
      is_older(versions_position_, query.versions) ||
      (watches_evacuations() &&
       is_older(evacuations_position_, query.evacuations))) {
    return std::nullopt;
  }
  return FreshUntil(now);
}

void catalog_relay::AdoptEras(relay_query& query) const {
  if (query.configuration) {
    query.configuration->era = configuration_position_.era;
  }
  if (query.upstreams) {
    query.upstreams->era = upstreams_.position().era;
  }
  if (query.versions) {
    query.versions->era = versions_position_.era;
  }
  if (query.evacuations) {
    query.evacuations->era = evacuations_position_.era;
  }
}

relay_answer catalog_relay::Answer(const relay_query& query,
                                   time_point received) const {
  const time_point now = MonotonicNow();
  relay_answer answer;
  answer.held = now - received;
  answer.fresh = FreshUntil(query, now).has_value();
  if (outage_ && now - outage_ended_ < kOutageReportTime) {
    answer.outage = {*outage_, now - outage_ended_};
  }
  if (!answer.fresh) {
    return answer;
  }
  if (query.configuration) {
    answer.configuration = {configuration_position_,
                            configuration_.newest().id.version,
                            now - *configuration_freshness_.current_as_of()};
  }
  if (query.upstreams) {
    answer.upstreams = upstreams_.Since(*query.upstreams);
  }
  if (query.versions) {
    answer.versions = {
        versions_position_, now - *version_age_.current_as_of(), {}};
    for (const auto& [model, history] : versions_) {
      std::vector<relayed_version>& relayed = answer.versions->versions[model];
      for (const version_publication& known : history.publications()) {
        relayed.push_back({known.version, now - known.not_before});
      }
    }
  }
  if (query.evacuations && watches_evacuations()) {
    answer.evacuations = {evacuations_position_, evacuated_};
  }
  answer.relays =
      RelaysFor(query.data_centre.empty() ? data_centre_ : query.data_centre);
  return answer;
}

const std::vector<std::string>& catalog_relay::RelaysFor(
    const data_centre_id& data_centre) const {
  const auto [relays, is_new] = relays_.try_emplace(data_centre);
  if (is_new) {
    relays->second = SelectRelays(upstreams_.Present(), data_centre);
  }
  return relays->second;
}

}  // namespace fireflyslip
