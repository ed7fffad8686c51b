#include "program/weight_distributor.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <string_view>
#include <utility>
#include <vector>

#include "program/chunk_announcement.h"

namespace fireflyslip {
namespace {

namespace asio = boost::asio;
using asio::awaitable;

constexpr std::string_view kChunksPrefix = "/chunks/";
constexpr std::string_view kManifestsPrefix = "/manifests/";
constexpr milliseconds kRetryDelay{500};
/// After the last attempt, the staging timeout of the fetcher makes it fetch
/// the chunk again.
constexpr int kMaxStagingAttempts = 4;

std::optional<http_endpoint> OriginOf(const process_settings& settings) {
  if (!settings.origin) {
    return std::nullopt;
  }
  return http_endpoint{settings.origin->address, settings.origin->port};
}

chunk_fetcher_settings FetcherSettings(const process_settings& settings) {
  chunk_fetcher_settings fetcher;
  fetcher.self = {settings.vm, settings.data_centre, settings.region};
  return fetcher;
}

std::string SourceName(const chunk_source& source) {
  return source.peer ? source.peer->value() : std::string("origin");
}

std::optional<digest> ParseDigestPath(const http_request& request,
                                      std::string_view prefix) {
  return digest::FromHex(request.path().substr(prefix.size()));
}

bool ServesModel(const configuration& configuration,
                 const vm_id& vm,
                 const model_name& model) {
  const upstream_declaration* upstream =
      configuration.Find(upstream_id(vm.value()));
  return upstream != nullptr && upstream->model == model;
}

}  // namespace

weight_distributor::weight_distributor(asio::io_context& context,
                                       timer_service& timers,
                                       process_context& process,
                                       engine_client& engine,
                                       callbacks handlers)
    : context_(context),
      process_(process),
      engine_(engine),
      handlers_(std::move(handlers)),
      client_(context),
      cache_(process.settings().chunk_cache_bytes),
      manifests_(context,
                 [this](const manifest_target& target,
                        const std::shared_ptr<const manifest>& content) {
                   OnManifest(target, content);
                 }),
      fetcher_(chunk_fetcher<rarest_first_policy>(
                   FetcherSettings(process.settings()),
                   process.incarnation()),
               timers,
               [this](const chunk_fetcher_action& action) { Apply(action); }) {}

void weight_distributor::AddPaths(admin_server& admin) {
  admin.HandleStream(std::string(kChunksPrefix),
                     [this](http_request request, response_writer& writer) {
                       return ServeChunk(std::move(request), writer);
                     });
  admin.Handle(std::string(kManifestsPrefix),
               [this](http_request request) -> awaitable<http_response> {
                 co_return ServeManifest(request);
               });
}

void weight_distributor::OnSnapshot(const fleet_snapshot& snapshot,
                                    const model_name& model) {
  UpdateMembers(snapshot, model);
  const model_declaration* declared = snapshot.configuration.Find(model);
  if (declared == nullptr) {
    return;
  }
  const manifest_target target{model, declared->version,
                               declared->manifest_digest};
  if (target != target_) {
    target_ = target;
    if (staging_listed_) {
      manifests_.Load(target);
    }
  }
}

void weight_distributor::UpdateMembers(const fleet_snapshot& snapshot,
                                       const model_name& model) {
  const process_settings& settings = process_.settings();
  fetch_members_changed changed;
  std::vector<vm_id> local = {settings.vm};
  peers_.clear();
  for (const auto& [vm, member] : snapshot.members) {
    if (member.role != process_role::kAgent || member.leaving ||
        !ServesModel(snapshot.configuration, vm, model)) {
      continue;
    }
    peers_.emplace(vm, member);
    changed.members.push_back({vm, member.data_centre, member.region});
    if (member.data_centre == settings.data_centre && vm != settings.vm) {
      local.push_back(vm);
    }
  }
  std::erase_if(pending_announcements_, [this](const auto& entry) {
    return !peers_.contains(entry.first);
  });
  manifest_sources sources;
  sources.origin = OriginOf(settings);
  for (const vm_id& vm : RendezvousOrder(model.value(), std::move(local))) {
    if (vm == settings.vm) {
      sources.own_position = sources.order.size();
      sources.order.push_back({settings.admin.address, settings.admin.port});
    } else {
      sources.order.push_back(peers_.at(vm).admin);
    }
  }
  manifests_.set_sources(std::move(sources));
  fetcher_.Handle(std::move(changed));
}

void weight_distributor::OnPeerLost(const vm_id& peer) {
  pending_announcements_.erase(peer);
  fetcher_.Handle(peer_lost{peer});
}

void weight_distributor::OnAnnouncement(const vm_id& peer,
                                        const chunk_have_message& message) {
  const std::optional<digest> name = digest::FromHex(message.manifest);
  if (!name || !peers_.contains(peer)) {
    return;
  }
  if (!fetch_target_ || fetch_target_->name != *name) {
    pending_announcements_[peer] = message;
    return;
  }
  std::optional<chunk_bitmap> chunks =
      ParseAnnouncement(message, chunks_.size());
  if (chunks) {
    fetcher_.Handle(peer_announcement{peer, *name, std::move(*chunks)});
  }
}

void weight_distributor::OnManifest(
    const manifest_target& target,
    const std::shared_ptr<const manifest>& content) {
  chunks_.clear();
  for (const chunk_entry& chunk : content->chunks) {
    chunks_.emplace(chunk.name, chunk);
  }
  fetch_target_ = target;
  received_counts_ = {};
  fetcher_.Handle(target_changed{target.model, target.version, content});
  for (const auto& [peer, message] :
       std::exchange(pending_announcements_, {})) {
    OnAnnouncement(peer, message);
  }
}

void weight_distributor::Apply(const chunk_fetcher_action& action) {
  std::visit(
      overloaded{
          [this](const fetch_from_origin& fetch) {
            StartTransfer(fetch.chunk, chunk_source{});
          },
          [this](const fetch_from_peer& fetch) {
            StartTransfer(fetch.chunk, chunk_source{fetch.vm});
          },
          [this](const cancel_fetch& cancel) {
            const auto found = transfers_.find({cancel.chunk, cancel.source});
            if (found != transfers_.end()) {
              found->second->Cancel();
              transfers_.erase(found);
            }
          },
          [this](const announce_chunks& announcement) {
            handlers_.send(announcement.vm,
                           MakeAnnouncement(announcement.manifest_name,
                                            announcement.chunks));
          },
          [this](const distribution_complete& complete) {
            OnComplete(complete);
          },
      },
      action);
}

std::optional<http_endpoint> weight_distributor::EndpointOf(
    const chunk_source& source) const {
  if (!source.peer) {
    return OriginOf(process_.settings());
  }
  const auto found = peers_.find(*source.peer);
  if (found == peers_.end()) {
    return std::nullopt;
  }
  return found->second.admin;
}

void weight_distributor::StartTransfer(const digest& chunk,
                                       const chunk_source& source) {
  const std::optional<http_endpoint> endpoint = EndpointOf(source);
  if (!endpoint) {
    fetcher_.Handle(transfer_failed{chunk, source, transfer_failure::kTimeout});
    return;
  }
  const auto transfer =
      std::make_shared<chunk_transfer>(client_, *endpoint, chunks_.at(chunk));
  transfers_[{chunk, source}] = transfer;
  asio::co_spawn(context_, Fetch(transfer, source), asio::detached);
}

awaitable<void> weight_distributor::Fetch(
    std::shared_ptr<chunk_transfer> transfer,
    chunk_source source) {
  result<std::string> read = co_await transfer->Run();
  if (transfer->is_cancelled()) {
    co_return;
  }
  const digest name = transfer->chunk().name;
  transfers_.erase(transfer_key(name, source));
  if (!IsOk(read)) {
    ReportFailure(name, source, ErrorOf(read));
    co_return;
  }
  const chunk_bytes bytes =
      std::make_shared<const std::string>(ValueOf(std::move(read)));
  CountReceived(source, bytes->size());
  fetcher_.Handle(chunk_received{name, source, chunk_check::kOk});
  co_await StageChunk(name, bytes);
}

void weight_distributor::ReportFailure(const digest& chunk,
                                       const chunk_source& source,
                                       const error& failure) {
  switch (failure.kind) {
    case error_kind::kCorruptData:
      process_.Record(
          event_kind::kChunkRejected,
          {{"source", SourceName(source)}, {"chunk", chunk.ToHex()}});
      process_.metrics().Count("fireflyslip_chunks_rejected_total");
      fetcher_.Handle(chunk_received{chunk, source, chunk_check::kCorrupt});
      return;
    case error_kind::kNotFound:
      fetcher_.Handle(chunk_received{chunk, source, chunk_check::kNotFound});
      return;
    case error_kind::kOverloaded:
      fetcher_.Handle(
          transfer_failed{chunk, source, transfer_failure::kRefused});
      return;
    default:
      fetcher_.Handle(
          transfer_failed{chunk, source, transfer_failure::kTimeout});
      return;
  }
}

void weight_distributor::CountReceived(const chunk_source& source,
                                       std::size_t bytes) {
  (source.peer ? received_counts_.peer_chunks
               : received_counts_.origin_chunks) += 1;
  (source.peer ? received_counts_.peer_bytes : received_counts_.origin_bytes) +=
      bytes;
  process_.metrics().Count("fireflyslip_chunk_bytes_received_total",
                           {{"source", source.peer ? "peer" : "origin"}},
                           static_cast<double>(bytes));
}

void weight_distributor::OnComplete(const distribution_complete& complete) {
  const std::string& model = complete.model.value();
  const std::string& version = complete.version.value();
  process_.Record(
      event_kind::kChunkFetched,
      {{"model", model},
       {"version", version},
       {"origin_chunks", std::to_string(received_counts_.origin_chunks)},
       {"origin_bytes", std::to_string(received_counts_.origin_bytes)},
       {"peer_chunks", std::to_string(received_counts_.peer_chunks)},
       {"peer_bytes", std::to_string(received_counts_.peer_bytes)}});
  process_.Record(event_kind::kVersionComplete,
                  {{"model", model}, {"version", version}});
  handlers_.on_complete(complete.version);
}

awaitable<void> weight_distributor::StageChunk(const digest& chunk,
                                               const chunk_bytes& bytes) {
  asio::steady_timer timer(context_);
  for (int i = 0; i < kMaxStagingAttempts; ++i) {
    const status staged = co_await engine_.StageChunk(chunk, bytes);
    if (IsOk(staged)) {
      cache_.Insert(chunk, bytes);
      fetcher_.Handle(chunk_staged{chunk});
      co_return;
    }
    timer.expires_after(kRetryDelay);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

void weight_distributor::ListStaging() {
  asio::co_spawn(context_, ReadStagingList(++listing_generation_),
                 asio::detached);
}

awaitable<void> weight_distributor::ReadStagingList(std::uint64_t generation) {
  asio::steady_timer timer(context_);
  while (generation == listing_generation_) {
    result<std::vector<digest>> listing = co_await engine_.ListChunks();
    if (generation != listing_generation_) {
      co_return;
    }
    if (IsOk(listing)) {
      const bool was_complete = fetcher_.core().IsComplete();
      fetcher_.Handle(staging_listed{ValueOf(std::move(listing))});
      if (was_complete && fetcher_.core().IsComplete()) {
        handlers_.on_complete(fetch_target_->version);
      }
      if (!std::exchange(staging_listed_, true) && target_) {
        manifests_.Load(*target_);
      }
      co_return;
    }
    timer.expires_after(kRetryDelay);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

const std::string* weight_distributor::CompleteManifest(
    const orders::versioned_model& content) const {
  const bool complete =
      fetch_target_ && fetch_target_->model == content.model &&
      fetch_target_->version == content.version && fetcher_.core().IsComplete();
  return complete ? manifests_.FindText(fetch_target_->name) : nullptr;
}

awaitable<void> weight_distributor::ServeChunk(http_request request,
                                               response_writer& writer) {
  const std::optional<digest> name = ParseDigestPath(request, kChunksPrefix);
  http_response response;
  if (!name) {
    response.status = 404;
  } else if (active_uploads_ >= limits_.max_uploads) {
    response.status = 503;
  } else {
    ++active_uploads_;
    const result<chunk_bytes> read = co_await ReadForUpload(*name);
    if (IsOk(read)) {
      response.body = *ValueOf(read);
      process_.metrics().Count("fireflyslip_chunk_bytes_sent_total", {},
                               static_cast<double>(response.body.size()));
    } else {
      response.status = ErrorOf(read).kind == error_kind::kNotFound ? 404 : 503;
    }
    co_await writer.Send(std::move(response));
    --active_uploads_;
    co_return;
  }
  co_await writer.Send(std::move(response));
}

awaitable<result<chunk_bytes>> weight_distributor::ReadForUpload(
    const digest& name) {
  if (chunk_bytes cached = cache_.Find(name)) {
    co_return cached;
  }
  result<std::string> read = co_await engine_.ReadChunk(name);
  if (!IsOk(read)) {
    co_return ErrorOf(read);
  }
  chunk_bytes bytes =
      std::make_shared<const std::string>(ValueOf(std::move(read)));
  cache_.Insert(name, bytes);
  co_return bytes;
}

http_response weight_distributor::ServeManifest(
    const http_request& request) const {
  const std::optional<digest> name = ParseDigestPath(request, kManifestsPrefix);
  const std::string* text = name ? manifests_.FindText(*name) : nullptr;
  return text != nullptr ? JsonResponse(200, *text)
                         : http_response{404, {}, "unknown manifest\n"};
}

}  // namespace fireflyslip
