#include "stager/stager.h"

#include <algorithm>
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

constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusBusy = 503;
/// Long, because keep-alive probes detect an unresponsive connection before the
/// end of a watch.
constexpr seconds kVersionWatch{20};
constexpr milliseconds kMaxWatchBackoff{1500};
/// Versions are published rarely, and loading one takes seconds.
constexpr milliseconds kRelayHold{1600};
constexpr milliseconds kRelaySilence{2400};
/// Time after the start for which an agent waits for a relay before it reads
/// the configuration from the store.
constexpr seconds kRelayWait{4};
constexpr milliseconds kRetryDelay{200};
constexpr milliseconds kManifestTimeout{600};
constexpr milliseconds kTargetCheckInterval{50};
/// One chunk takes 42 ms on an idle link of a VM; several transfers share it.
constexpr milliseconds kChunkTimeout{2500};
constexpr milliseconds kLocalReplicaTimeout{1000};
/// Longest chunk, unless the configuration states longer ones. The length that
/// the agent knows may be out of date.
constexpr std::size_t kMinChunkLimit = 1UL << 20;
/// Fraction of the VM's link bandwidth that chunks may use; the rest is for the
/// streams of the replica, which must not stall between events.
constexpr double kLinkFraction = 0.85;

staging_policy StagingPolicy(const node_settings& settings) {
  /// Fraction of the rollout timeout after which the second half of the
  /// replicas switch versions; the rest is for their running streams and for
  /// loading.
  constexpr double kSecondBatchFraction = 0.65;
  staging_policy policy;
  policy.second_batch_delay =
      FromSeconds(ToSeconds(settings.rollout_timeout) * kSecondBatchFraction);
  policy.load_request_timeout = kLocalReplicaTimeout;
  return policy;
}

relay_policy RelayPolicy() {
  relay_policy policy;
  policy.hold = kRelayHold;
  policy.max_silence = kRelaySilence;
  return policy;
}

weight_stager::fetch_result FetchResultOf(error_kind kind) {
  switch (kind) {
    case error_kind::kNotFound:
      return weight_stager::fetch_result::kMissing;
    case error_kind::kOverloaded:
      return weight_stager::fetch_result::kBusy;
    default:
      return weight_stager::fetch_result::kFailed;
  }
}

double ChunkRate(const node_settings& settings) {
  constexpr double kBytesPerMegabit = 125'000;
  return settings.link_mbps * kBytesPerMegabit * kLinkFraction;
}

}  // namespace

stager::stager(boost::asio::io_context& context,
               const node_settings& settings,
               metrics& counters,
               std::uint64_t seed)
    : context_(context),
      settings_(settings),
      counters_(counters),
      timers_(context),
      store_(context, settings.platform),
      engine_(context, *settings.engine),
      peer_client_(context),
      chunk_server_(context,
                    chunks_,
                    model_,
                    ChunkRate(settings),
                    [this](std::uint64_t version, std::size_t chunk) {
                      return Overdue(version, chunk);
                    }),
      publisher_(context,
                 settings_,
                 engine_,
                 [this](const upstream_load& load) { OnReplicaLoad(load); }),
      version_watch_(context,
                     settings.platform,
                     {platform::kVersionKind, kVersionWatch, duration(0),
                      kMaxWatchBackoff},
                     VersionHandlers(),
                     seed),
      relay_(context, settings, seed + 1),
      relay_client_(context,
                    settings.data_centre,
                    settings.RelayPort(),
                    RelayPolicy(),
                    RelayHandlers(),
                    seed + 2),
      random_(seed + 4),
      started_at_(MonotonicNow()),
      peer_refresh_({}, random_source(seed + 3)),
      core_(weight_stager(StagingPolicy(settings),
                          {settings.address, settings.region, false}),
            timers_,
            [this](const weight_stager::action& action) { Apply(action); }) {}

status stager::Start() {
  const auto served = chunk_server_.Listen(settings_.ChunkEndpoint());
  if (!IsOk(served)) {
    return ErrorOf(served);
  }
  const auto relayed =
      relay_.Listen({settings_.address, settings_.RelayPort()});
  if (!IsOk(relayed)) {
    return ErrorOf(relayed);
  }
  status published = publisher_.Start();
  if (!IsOk(published)) {
    return published;
  }
  boost::asio::co_spawn(context_, version_watch_.Run(), boost::asio::detached);
  boost::asio::co_spawn(context_, Run(), boost::asio::detached);
  return std::monostate{};
}

kind_watch::handlers stager::VersionHandlers() {
  kind_watch::handlers callbacks;
  callbacks.on_response = [](duration) {};
  callbacks.on_list = [this](const platform::store_listing& listing) {
    for (const platform::store_object& object : listing.objects) {
      OnVersionObject(object);
    }
    versions_listed_ = true;
  };
  callbacks.on_change = [this](const platform::store_change& change) {
    if (!change.removed) {
      OnVersionObject(change.object);
    }
  };
  callbacks.on_confirmed = [this](const watch_freshness&,
                                  const store_position& position) {
    versions_position_ = std::max(versions_position_, position);
  };
  return callbacks;
}

relay_client::handlers stager::RelayHandlers() {
  relay_client::handlers callbacks;
  callbacks.query = [this] {
    return relay_query{std::nullopt, std::nullopt, versions_position_, {}};
  };
  callbacks.on_answer = [this](const relay_answer& answer, time_point) {
    if (!answer.versions) {
      return;
    }
    versions_position_ =
        std::max(versions_position_, answer.versions->position);
    for (const auto& [model, publications] : answer.versions->versions) {
      for (const relayed_version& published : publications) {
        SetNewestVersion(model, published.version);
      }
    }
    versions_listed_ = true;
    relay_client_.SetRelays(answer.relays);
  };
  callbacks.on_watch_store = [this](bool watch) {
    version_watch_.Advance(versions_position_);
    version_watch_.SetFollowing(watch);
    if (watch) {
      peer_refresh_.RecordRelayLost(MonotonicNow());
    }
  };
  return callbacks;
}

void stager::OnVersionObject(const platform::store_object& object) {
  const auto target = platform::DecodeTargetVersion(object.content);
  if (target) {
    SetNewestVersion(target->model, target->version);
  }
}

void stager::SetNewestVersion(const model_name& model, std::uint64_t version) {
  std::uint64_t& newest = newest_versions_[model];
  if (version > newest) {
    newest = version;
    LogLine("event=version_named model=" + model.value() +
            " version=" + std::to_string(version));
  }
}

std::uint64_t stager::newest_version() const {
  const auto found = newest_versions_.find(model_);
  return std::max(kFirstModelVersion,
                  found == newest_versions_.end() ? 0 : found->second);
}

void stager::OnReplicaLoad(const upstream_load& load) {
  replica_load_ = load;
  if (!load.reachable) {
    return;
  }
  const auto found = load.model_versions.find(model_);
  core_.Handle(weight_stager::replica_observed{
      found == load.model_versions.end() ? 0 : found->second, load.loading});
  publisher_.SetLoadPending(core_.core().IsLoadPending());
}

void stager::Apply(const weight_stager::action& action) {
  const auto spawn = [this](awaitable<void> work) {
    boost::asio::co_spawn(context_, std::move(work), boost::asio::detached);
  };
  std::visit(
      overloaded{
          [&](const weight_stager::fetch& order) { spawn(Fetch(order)); },
          [&](const weight_stager::stage& order) { spawn(Stage(order)); },
          [&](const weight_stager::announce_load&) {
            publisher_.SetLoadPending(true);
          },
          [&](const weight_stager::verify& order) { spawn(Verify(order)); },
          [&](const weight_stager::load& order) { spawn(Load(order)); },
      },
      action);
}

awaitable<void> stager::Run() {
  for (;;) {
    co_await RefreshPeers(true);
    const bool known = co_await ReadConfiguration();
    if (known) {
      break;
    }
    co_await Sleep(kRetryDelay);
  }
  LogLine("event=services_known source=" +
          std::string(relay_client_.HasRelay() ? "relay" : "store"));
  SetPeers();  // now the model and the region of the origin are known
  co_await FollowTarget();
}

awaitable<bool> stager::ReadConfiguration() {
  if (relay_client_.HasRelay()) {
    const auto services = co_await relay_client_.ReadServices();
    co_return IsOk(services) && ApplyConfiguration(ValueOf(services));
  }
  if (MonotonicNow() - started_at_ < kRelayWait) {
    co_return false;
  }
  const bool known = co_await ReadStoredConfiguration();
  if (!known) {
    const duration delay = configuration_backoff_.RecordFailure(random_);
    co_await Sleep(delay);
  }
  co_return known;
}

awaitable<bool> stager::ReadStoredConfiguration() {
  const std::string kind = platform::kConfigurationKind;
  const auto listed =
      co_await store_.List(kind, true, configuration_backoff_.timeout());
  if (IsOk(listed)) {
    for (const platform::store_object& object : ValueOf(listed).objects) {
      if (object.name == platform::kConfigurationName &&
          ApplyConfiguration(platform::ParseJson(object.content))) {
        co_return true;
      }
    }
  }
  co_return false;
}

bool stager::ApplyConfiguration(const nlohmann::json& content) {
  const auto decoded = platform::DecodeDeployment(content);
  if (!IsOk(decoded)) {
    return false;
  }
  const deployment& catalog = ValueOf(decoded);
  const service_profile* service = catalog.FindService(settings_.service);
  if (service == nullptr || !service->engine ||
      service->engine->models.empty()) {
    return false;
  }
  publisher_.SetColdRate(service->cold ? service->cold->requests_per_s : 0);
  for (const auto& [name, other] : catalog.services) {
    const auto endpoint =
        other.origin ? ParseHttpEndpoint(other.origin->address) : std::nullopt;
    if (endpoint) {
      model_ = service->engine->models.front();
      origin_region_ = settings_.RegionOf(other.origin->data_centre);
      origin_link_mbps_ = other.origin->link_mbps;
      chunk_bytes_ = service->engine->chunk_bytes;
      origin_ = std::make_unique<platform::origin_client>(context_, *endpoint);
      return true;
    }
  }
  return false;
}

duration stager::OriginChunkTime() const {
  constexpr double kBitsPerMegabit = 1e6;
  constexpr double kBitsPerByte = 8;
  return origin_link_mbps_ > 0
             ? FromSeconds(static_cast<double>(chunk_bytes_) * kBitsPerByte /
                           (origin_link_mbps_ * kBitsPerMegabit))
             : duration(0);
}

awaitable<void> stager::FollowTarget() {
  // The first target requires a reachable replica, because a replica that was
  // running before this process may already hold that version.
  bool is_first_target = true;
  for (;;) {
    const std::uint64_t wanted = newest_version();
    if (wanted > core_.core().target() && versions_listed_ &&
        ((replica_load_ && replica_load_->reachable) || !is_first_target) &&
        core_.core().IsReplaceable(MonotonicNow())) {
      const bool started = co_await StartTarget(wanted);
      if (!started) {  // the current target is kept
        co_await Sleep(kRetryDelay);
        continue;
      }
      is_first_target = false;
    }
    co_await RefreshPeers(!core_.core().IsFetched());
    co_await Sleep(kTargetCheckInterval);
  }
}

awaitable<bool> stager::StartTarget(std::uint64_t version) {
  const auto read = co_await ReadManifest(version);
  if (!IsOk(read)) {
    if (!manifest_failed_) {
      LogLine("event=manifest_failed version=" + std::to_string(version) +
              " reason=\"" + ErrorOf(read).detail + "\"");
    }
    manifest_failed_ = true;
    co_return false;
  }
  const platform::weight_manifest& manifest = ValueOf(read);
  manifest_failed_ = false;
  const bool may_be_staged = core_.core().target() == 0;
  chunks_.Reset(version, manifest.digests);
  chunk_server_.NotifyVersionChanged();
  co_await RefreshPeers(true);
  SetPeers();  // which of them hold the version
  LogLine("event=target version=" + std::to_string(version) +
          " chunks=" + std::to_string(manifest.digests.size()));
  const weight_stager::target_assigned target{version, manifest.digests.size(),
                                              may_be_staged, OriginChunkTime()};
  core_.Handle(target);
  co_return true;
}

awaitable<result<platform::weight_manifest>> stager::ReadManifest(
    std::uint64_t version) {
  const staging_peer self{settings_.address, settings_.region, false};
  const std::vector<staging_source> sources =
      ManifestSources(self, peers_, origin_region_);
  result<platform::weight_manifest> manifest =
      error{error_kind::kNotFound,
            "neither the origin nor a peer provides the manifest"};
  for (const staging_source& source : sources) {
    manifest = co_await ReadManifestFrom(source, version);
    if (IsOk(manifest)) {
      break;
    }
  }
  co_return manifest;
}

awaitable<result<platform::weight_manifest>> stager::ReadManifestFrom(
    staging_source source,
    std::uint64_t version) {
  if (source.kind == source_kind::kOrigin) {
    co_return co_await origin_->ReadManifest(model_, version, kManifestTimeout);
  }
  co_return co_await ReadManifestFromPeer(source.address, version);
}

awaitable<bool> stager::CorrectManifest(staging_source source,
                                        std::size_t chunk,
                                        std::string bytes) {
  const std::uint64_t version = chunks_.version();
  const auto read = co_await ReadManifestFrom(source, version);
  if (!IsOk(read) || version != chunks_.version()) {
    co_return false;
  }
  const bool corrected =
      chunks_.Correct(chunk, ValueOf(read).digests, std::move(bytes));
  if (corrected) {
    LogLine("event=manifest_corrected version=" + std::to_string(version) +
            " chunk=" + std::to_string(chunk));
  }
  co_return corrected;
}

awaitable<result<platform::weight_manifest>> stager::ReadManifestFromPeer(
    std::string address,
    std::uint64_t version) {
  const http_endpoint peer{std::move(address), settings_.ChunkEndpoint().port};
  http_request request;
  request.target = ManifestPath(version);
  request.fields.push_back({kModelField, model_.value()});
  const auto answer =
      co_await peer_client_.Request(peer, std::move(request), kManifestTimeout,
                                    duration(0), platform::kMaxManifestBytes);
  if (!IsOk(answer)) {
    co_return ErrorOf(answer);
  }
  const auto digests = ValueOf(answer).status == kStatusOk
                           ? ParseManifestText(ValueOf(answer).body)
                           : std::nullopt;
  if (!digests) {
    co_return error{error_kind::kNotFound, "the peer has no manifest"};
  }
  co_return platform::weight_manifest{version, *digests};
}

awaitable<void> stager::RefreshPeers(bool fetching) {
  const auto source =
      peer_refresh_.Next(fetching, relay_client_.HasRelay(), MonotonicNow());
  if (source == peer_refresh::source::kRelay) {
    co_await ReadPeerChanges();
  } else if (source == peer_refresh::source::kStore) {
    co_await ListPeers();
  }
}

awaitable<void> stager::ReadPeerChanges() {
  const auto changes =
      co_await relay_client_.ReadUpstreams(upstreams_position_);
  if (!IsOk(changes)) {
    co_return;
  }
  if (ValueOf(changes).complete) {
    upstreams_.clear();
  }
  for (const upstream_change& change : ValueOf(changes).changes) {
    upstreams_.erase(change.id);
    if (change.entry) {
      upstreams_.emplace(change.id, *change.entry);
    }
  }
  upstreams_position_ = ValueOf(changes).position;
  SetPeers();
}

awaitable<void> stager::ListPeers() {
  LogLine("event=peers_listed");
  const std::string kind = platform::kUpstreamKind;
  const auto listed = co_await store_.List(kind, true, list_backoff_.timeout());
  if (!IsOk(listed)) {
    list_backoff_.RecordFailure(random_);
    if (peers_.empty()) {
      peer_refresh_.RecordNoPeers(MonotonicNow());
      relay_client_.SetRelays({});  // the store is watched until there are some
    }
    co_return;
  }
  list_backoff_.RecordSuccess();
  upstreams_.clear();
  for (const platform::store_object& object : ValueOf(listed).objects) {
    if (const auto entry =
            platform::DecodeUpstream(object.name, object.content)) {
      upstreams_.emplace(entry->id, *entry);
    }
  }
  // The list may be older than the position that comes with it.
  upstreams_position_ = {};
  SetPeers();
  if (peers_.empty()) {
    peer_refresh_.RecordNoPeers(MonotonicNow());
  }
  relay_client_.SetRelays(SelectRelays(upstreams_, settings_.data_centre));
}

void stager::SetPeers() {
  weight_stager::peers_changed change;
  change.origin_region = origin_region_;
  for (const auto& [id, entry] : upstreams_) {
    const auto endpoint = ParseHttpEndpoint(entry.address);
    if (!endpoint || entry.service != settings_.service || entry.draining) {
      continue;
    }
    const auto found = entry.model_versions.find(model_);
    const bool has_version = found != entry.model_versions.end() &&
                             found->second == chunks_.version();
    change.peers.push_back({endpoint->address,
                            settings_.RegionOf(entry.data_centre),
                            has_version});
  }
  peers_ = change.peers;
  core_.Handle(change);
}

std::size_t stager::MaxChunkBytes() const {
  return std::max(chunk_bytes_, kMinChunkLimit);
}

awaitable<result<std::string>> stager::ReadBody(
    http_endpoint peer,
    std::shared_ptr<response_reader> reader) {
  const time_point deadline = MonotonicNow() + kChunkTimeout;
  std::string body;
  while (!reader->complete()) {
    const duration timeout = std::max(deadline - MonotonicNow(), duration(0));
    const auto part = co_await reader->Read(timeout);
    if (!IsOk(part)) {
      co_return ErrorOf(part);
    }
    if (body.size() + ValueOf(part).size() > MaxChunkBytes()) {
      co_return RejectOversizeResponse(peer, response_part::kBody,
                                       MaxChunkBytes());
    }
    body += ValueOf(part);
  }
  reader->ReleaseConnection();
  if (reader->head().status == kStatusNotFound) {
    co_return error{error_kind::kNotFound,
                    "chunk is not available at the peer"};
  }
  if (reader->head().status == kStatusBusy) {
    co_return error{error_kind::kOverloaded, "link of the peer is busy"};
  }
  if (reader->head().status != kStatusOk) {
    co_return error{error_kind::kUpstreamFailed,
                    "unexpected status from the peer"};
  }
  co_return body;
}

awaitable<void> stager::Fetch(weight_stager::fetch order) {
  const std::uint64_t version = chunks_.version();
  const std::size_t chunk = order.chunk;
  result<std::string> bytes = error{error_kind::kNotFound, ""};
  duration transfer{0};
  std::optional<duration> overdue;
  if (order.source.kind == source_kind::kLocalReplica) {
    bytes = co_await engine_.ReadStagedChunk(model_, chunk, MaxChunkBytes(),
                                             kLocalReplicaTimeout);
  } else if (order.source.kind == source_kind::kOrigin) {
    const std::size_t rank = core_.core().origin_rank(chunk);
    if (rank > 0) {
      LogLine("event=origin_asked version=" + std::to_string(version) +
              " chunk=" + std::to_string(chunk) +
              " rank=" + std::to_string(rank));
    }
    bytes = co_await origin_->ReadChunk(model_, version, chunk, MaxChunkBytes(),
                                        kChunkTimeout);
    RecordOriginAnswer(bytes);
  } else {
    const http_endpoint peer{order.source.address,
                             settings_.ChunkEndpoint().port};
    http_request request;
    request.target = ChunkTarget(version, chunk, order.source.blocking_call);
    request.fields.push_back({kModelField, model_.value()});
    const auto answer =
        co_await peer_client_.Open(peer, std::move(request), kChunkTimeout);
    if (IsOk(answer)) {
      const std::shared_ptr<response_reader> reader = ValueOf(answer);
      const time_point started_at = MonotonicNow();
      overdue = ParseOverdue(reader->head().Field(kOverdueField));
      bytes = co_await ReadBody(peer, reader);
      transfer = MonotonicNow() - started_at;
    } else {
      bytes = ErrorOf(answer);
    }
  }
  bool stored = false;
  if (IsOk(bytes) && version == chunks_.version()) {
    stored = chunks_.Put(chunk, ValueOf(bytes));
    if (!stored && order.source.kind != source_kind::kLocalReplica) {
      stored = co_await CorrectManifest(order.source, chunk, ValueOf(bytes));
    }
  }
  if (version != chunks_.version()) {
    co_return;  // superseded
  }
  weight_stager::fetch_ended ended;
  ended.chunk = chunk;
  ended.source = order.source;
  ended.transfer = transfer;
  ended.overdue = overdue;
  if (!IsOk(bytes)) {
    ended.result = FetchResultOf(ErrorOf(bytes).kind);
  } else if (!stored) {
    // The local replica does not verify staged chunks and keeps corrupt ones.
    ended.result = order.source.kind == source_kind::kLocalReplica
                       ? weight_stager::fetch_result::kMissing
                       : weight_stager::fetch_result::kFailed;
  }
  if (ended.result == weight_stager::fetch_result::kFetched) {
    chunk_server_.NotifyAvailable(chunk);
  }
  static const char* const source_names[] = {"own", "peer", "origin"};
  counters_.Count(
      "chunks_total",
      {{"source", source_names[static_cast<int>(order.source.kind)]},
       {"ok",
        ended.result == weight_stager::fetch_result::kFetched ? "1" : "0"}});
  core_.Handle(ended);
}

std::optional<duration> stager::Overdue(std::uint64_t version,
                                        std::size_t chunk) const {
  // The stored digests change before the target of the core.
  return version == core_.core().target() && version == chunks_.version() &&
                 chunk < chunks_.size()
             ? std::optional(core_.core().Overdue(chunk, MonotonicNow()))
             : std::nullopt;
}

void stager::RecordOriginAnswer(const result<std::string>& answer) {
  const bool failed = !IsOk(answer);
  if (failed && !origin_failed_) {
    LogLine("event=origin_failed reason=\"" + ErrorOf(answer).detail + "\"");
  } else if (!failed && origin_failed_) {
    LogLine("event=origin_recovered");
  }
  origin_failed_ = failed;
}

awaitable<void> stager::Stage(weight_stager::stage order) {
  const std::uint64_t version = chunks_.version();
  const auto bytes = chunks_.Get(order.chunk);
  bool staged = false;
  if (bytes) {
    std::string copy = *bytes;
    const status done = co_await engine_.StageChunk(
        model_, order.chunk, std::move(copy), kLocalReplicaTimeout);
    staged = IsOk(done);
  }
  if (version == chunks_.version()) {
    const weight_stager::stage_ended ended{order.chunk, staged};
    core_.Handle(ended);
  }
}

awaitable<void> stager::Verify(weight_stager::verify order) {
  const std::uint64_t version = chunks_.version();
  weight_stager::verify_ended ended;
  ended.chunk = order.chunk;
  ended.read_at = MonotonicNow();
  const auto bytes = co_await engine_.ReadStagedChunk(
      model_, order.chunk, MaxChunkBytes(), kLocalReplicaTimeout);
  if (version != chunks_.version()) {
    co_return;  // superseded
  }
  ended.intact = IsOk(bytes) && chunks_.Matches(order.chunk, ValueOf(bytes));
  if (!ended.intact) {
    LogLine("event=staged_chunk_spoilt version=" + std::to_string(version) +
            " chunk=" + std::to_string(order.chunk) +
            (IsOk(bytes) ? "" : " reason=\"" + ErrorOf(bytes).detail + "\""));
  }
  core_.Handle(ended);
}

awaitable<void> stager::Load(weight_stager::load order) {
  if (order.version != chunks_.version()) {
    co_return;  // superseded
  }
  const duration timeout = std::min<duration>(kLocalReplicaTimeout,
                                              order.accept_by - MonotonicNow());
  result<platform::weight_load_status> answer =
      error{error_kind::kDeadlineExceeded, "the verification has expired"};
  if (timeout > duration(0)) {
    answer = co_await engine_.LoadWeights(model_, order.version, timeout);
  }
  weight_stager::load_ended ended;
  ended.accepted =
      IsOk(answer) && ValueOf(answer) != platform::weight_load_status::kBusy;
  LogLine("event=load_ordered version=" + std::to_string(order.version) +
          " accepted=" + (ended.accepted ? "1" : "0") +
          (IsOk(answer) ? "" : " reason=\"" + ErrorOf(answer).detail + "\""));
  if (order.version == chunks_.version()) {
    core_.Handle(ended);
  }
}

awaitable<void> stager::Sleep(duration length) {
  boost::asio::steady_timer timer(context_, length);
  boost::system::error_code ignored;
  co_await timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

}  // namespace fireflyslip
