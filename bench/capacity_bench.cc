// Measures how memory, message sizes and CPU time of the decision cores scale
// with the size of the fleet. Prints one line of key=value pairs per result and
// one line "slope" per series of three sizes. The figures in docs/CAPACITY.md
// are derived from these slopes.

#include <malloc.h>

#include <array>
#include <cstdio>
#include <cstring>
#include <ctime>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fireflyslip/admission.h"
#include "fireflyslip/booking.h"
#include "fireflyslip/contract.h"
#include "fireflyslip/distribution.h"
#include "fireflyslip/link.h"
#include "fireflyslip/membership.h"
#include "fireflyslip/routing.h"
#include "fireflyslip/scheduling.h"

namespace fireflyslip {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
constexpr time_point kStart = time_point(seconds(1000));

/// \brief Returns the CPU time of this thread in microseconds.
double CpuTime() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * kMicrosecondsPerSecond +
         static_cast<double>(now.tv_nsec) / 1000;
}

double HeapBytes() {
  return static_cast<double>(mallinfo2().uordblks);
}

/// \brief Returns the mean CPU time of one call in microseconds.
double MeanCpuTime(std::size_t repetitions, const std::function<void()>& call) {
  const double start = CpuTime();
  for (std::size_t i = 0; i < repetitions; ++i) {
    call();
  }
  return (CpuTime() - start) / static_cast<double>(repetitions);
}

struct sample {
  double size;
  double value;
};

/// \brief Prints the samples of a series and their linear least-squares fit.
void PrintSeries(const char* name,
                 const char* unit,
                 const std::vector<sample>& samples) {
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  for (const sample& point : samples) {
    std::printf("figure=%s size=%.0f value=%.4g unit=%s\n", name, point.size,
                point.value, unit);
    sum_x += point.size;
    sum_y += point.value;
    sum_xx += point.size * point.size;
    sum_xy += point.size * point.value;
  }
  const auto n = static_cast<double>(samples.size());
  const double slope =
      (n * sum_xy - sum_x * sum_y) / (n * sum_xx - sum_x * sum_x);
  std::printf("slope=%s per_unit_of_size=%.4g offset=%.4g unit=%s\n", name,
              slope, (sum_y - slope * sum_x) / n, unit);
}

std::string Name(const char* prefix, std::size_t number) {
  return prefix + std::to_string(number);
}

std::vector<vm_id> MakeVms(const char* prefix, std::size_t count) {
  std::vector<vm_id> vms;
  for (std::size_t i = 0; i < count; ++i) {
    vms.emplace_back(Name(prefix, i));
  }
  return vms;
}

void PrintMessage(const char* name, const link_message& message) {
  const link_envelope envelope{1796000000000, 7, message};
  const std::string bytes = EncodeEnvelope(envelope);
  const double encode = MeanCpuTime(20000, [&] { EncodeEnvelope(envelope); });
  const double decode = MeanCpuTime(20000, [&] { DecodeEnvelope(bytes); });
  std::printf("message=%s bytes=%zu encode_us=%.3f decode_us=%.3f\n", name,
              bytes.size(), encode, decode);
}

void MeasureMessages() {
  PrintMessage("heartbeat", heartbeat_message{86400, 2700, 100000});
  PrintMessage("load_report",
               load_report_message{8, 12000, 640.5, model_name("cue"),
                                   model_version("v20261204"), true});
  PrintMessage("replica_report",
               replica_report_message{model_name("cue"), 2700,
                                      model_version("v20261204"), "serving",
                                      true, false});
  PrintMessage("share_request",
               share_request_message{77, workspace_id("workspace-17"), 0.02});
  attempt_message attempt;
  attempt.attempt = {{vm_id("akl-e17"), 1796000000000, 123456}, 1};
  attempt.workspace = workspace_id("workspace-17");
  attempt.model = model_name("cue");
  attempt.body = std::string(1000, 'x');
  PrintMessage("attempt_with_1000_byte_body", attempt);
  answer_part_message part;
  part.attempt = attempt.attempt;
  part.version = model_version("v20261204");
  part.data = std::string(220, 'x');
  PrintMessage("answer_part_with_220_byte_event", part);
  for (const std::size_t chunks : {256U, 1024U, 4096U}) {
    PrintMessage(Name("chunk_have_", chunks).c_str(),
                 chunk_have_message{digest::Of("m").ToHex(),
                                    std::string(chunks / 4, 'f')});
  }
}

member_event::vm_list MakeVmList(std::size_t count) {
  member_event::vm_list list;
  list.revision = 1;
  for (const vm_id& vm : MakeVms("akl-vm-", count)) {
    list.entries.push_back({vm, data_centre_id("akl"), process_role::kAgent,
                            "10.20.30.40:9080", "10.20.30.40:9180", false});
  }
  return list;
}

void MeasureMembers() {
  std::vector<sample> memory;
  std::vector<sample> list_time;
  std::vector<sample> heartbeat_time;
  for (const std::size_t count : {100U, 350U, 1150U}) {
    const auto size = static_cast<double>(count);
    member_event::vm_list list = MakeVmList(count);
    const double before = HeapBytes();
    auto table = std::make_unique<member_table>();
    table->Handle(list, kStart);
    memory.push_back({size, HeapBytes() - before});
    list_time.push_back({size, MeanCpuTime(20, [&] {
                           ++list.revision;
                           table->Handle(list, kStart);
                         })});
    for (const vm_list_entry& entry : list.entries) {
      table->Handle(
          member_event::connected{entry.vm, entry.data_centre, entry.role, 1},
          kStart);
    }
    const member_event::heartbeat heartbeat{list.entries[count / 2].vm, 1};
    heartbeat_time.push_back({size, MeanCpuTime(2000, [&] {
                                table->Handle(heartbeat, kStart);
                                table->NextDeadline();
                              })});
  }
  PrintSeries("member_table_memory", "bytes", memory);
  PrintSeries("member_table_vm_list", "us", list_time);
  PrintSeries("member_table_heartbeat", "us", heartbeat_time);
}

configuration_parts MakeConfiguration(std::size_t workspaces,
                                      std::size_t upstreams) {
  configuration_parts parts;
  parts.change_id = "0123456789abcdef";
  parts.entries[data_centre_id("akl")] = 350;
  for (std::size_t i = 0; i < workspaces; ++i) {
    contract terms;
    terms.key_digest = digest::Of(Name("key", i));
    terms.requests_per_second = 20;
    terms.tokens_per_second = 4000;
    for (rank_objectives& rank : terms.ranks) {
      rank = {milliseconds(360), milliseconds(2000), 0.1};
    }
    parts.workspaces[workspace_id(Name("workspace-", i))] = terms;
  }
  parts.models[model_name("cue")] = {model_version("v1"), digest::Of("m"),
                                     0.75};
  for (std::size_t i = 0; i < upstreams; ++i) {
    upstream_declaration upstream;
    upstream.data_centre = data_centre_id("akl");
    upstream.model = model_name("cue");
    parts.upstreams[upstream_id(Name("akl-m", i))] = upstream;
  }
  return parts;
}

/// \brief Measures text size, parse time and memory of configurations; `make`
/// builds a configuration of a given size.
void MeasureConfigurationSeries(
    const std::string& name,
    const std::vector<std::size_t>& sizes,
    const std::function<configuration_parts(std::size_t)>& make) {
  std::vector<sample> bytes;
  std::vector<sample> parse_time;
  std::vector<sample> memory;
  for (const std::size_t count : sizes) {
    const auto size = static_cast<double>(count);
    const std::string text = ToJson(configuration(make(count)));
    bytes.push_back({size, static_cast<double>(text.size())});
    parse_time.push_back(
        {size, MeanCpuTime(5, [&] { ParseConfiguration(text); })});
    const double before = HeapBytes();
    const auto parsed = ParseConfiguration(text);
    memory.push_back({size, HeapBytes() - before});
  }
  PrintSeries((name + "_text").c_str(), "bytes", bytes);
  PrintSeries((name + "_parse").c_str(), "us", parse_time);
  PrintSeries((name + "_memory").c_str(), "bytes", memory);
}

void MeasureConfiguration() {
  MeasureConfigurationSeries(
      "configuration_by_workspaces", {10, 100, 400},
      [](std::size_t count) { return MakeConfiguration(count, 1); });
  MeasureConfigurationSeries(
      "configuration_by_upstreams", {50, 200, 800},
      [](std::size_t count) { return MakeConfiguration(1, count); });
}

void MeasureRouting() {
  std::vector<sample> route_time;
  for (const std::size_t count : {8U, 24U, 96U}) {
    routing_settings settings;
    settings.data_centre = data_centre_id("akl");
    request_router<two_choices_policy> router(settings, random_source(1));
    for (std::size_t i = 0; i < count; ++i) {
      routing_types::upstream_changed upstream;
      upstream.upstream = upstream_id(Name("akl-m", i));
      upstream.data_centre = settings.data_centre;
      upstream.target = "cue";
      router.Handle(upstream, kStart);
    }
    std::uint64_t sequence = 0;
    route_time.push_back(
        {static_cast<double>(count), MeanCpuTime(5000, [&] {
           routing_types::request_arrived request;
           request.request = {vm_id("akl-e1"), 1, ++sequence};
           request.target = "cue";
           request.prefix_hash = sequence % 50;
           request.estimated_tokens = 100;
           const auto actions = router.Handle(request, kStart);
           const auto& route = std::get<routing_types::route>(actions.front());
           router.Handle(routing_types::request_finished{request.request,
                                                         route.upstream, 100},
                         kStart);
         })});
  }
  PrintSeries("route_one_request", "us", route_time);

  std::vector<sample> neighbours_time;
  for (const std::size_t entries : {50U, 150U, 350U}) {
    const std::vector<vm_id> all = MakeVms("akl-e", entries);
    const std::vector<vm_id> agents = MakeVms("akl-m", entries * 800 / 350);
    constexpr std::size_t kSubset = 24;
    neighbours_time.push_back(
        {static_cast<double>(entries), MeanCpuTime(1, [&] {
           SelectNeighbours(all.front(), all, agents, kSubset);
         })});
  }
  PrintSeries("select_neighbours", "us", neighbours_time);
}

void MeasureAdmission() {
  std::vector<sample> time;
  std::vector<sample> memory;
  for (const std::size_t count : {10U, 100U, 1000U}) {
    const auto size = static_cast<double>(count);
    const double before = HeapBytes();
    admission_controller controller;
    admission_controller::limits_changed limits;
    for (std::size_t i = 0; i < count; ++i) {
      limits.limits.push_back(
          {workspace_id(Name("workspace-", i)), 1e9, 1e9, 2, 1});
    }
    controller.Handle(limits, kStart);
    limits.limits.clear();
    limits.limits.shrink_to_fit();
    memory.push_back({size, HeapBytes() - before});
    std::uint64_t sequence = 0;
    time.push_back({size, MeanCpuTime(5000, [&] {
                      ++sequence;
                      admission_controller::request_arrived request;
                      request.request = {vm_id("akl-e1"), 1, sequence};
                      request.workspace =
                          workspace_id(Name("workspace-", sequence % count));
                      request.estimated_tokens = 100;
                      controller.Handle(request, kStart);
                    })});
  }
  PrintSeries("admit_one_request", "us", time);
  PrintSeries("admission_memory", "bytes", memory);
}

void MeasureScheduling() {
  std::vector<sample> time;
  std::vector<sample> memory;
  for (const std::size_t count : {10U, 100U, 1000U}) {
    const auto size = static_cast<double>(count);
    const double before = HeapBytes();
    scheduling_policy policy;
    policy.queue_bound = 2 * count;
    request_scheduler scheduler(policy);
    std::uint64_t sequence = 0;
    std::vector<attempt_id> running;
    const auto enqueue = [&] {
      request_scheduler::enqueue arrival;
      arrival.attempt = {{vm_id("akl-e1"), 1, ++sequence}, 1};
      arrival.workspace = workspace_id(Name("workspace-", sequence % 10));
      arrival.deadline = kStart + std::chrono::hours(1);
      arrival.cost_tokens = 100;
      for (const auto& action : scheduler.Handle(arrival, kStart)) {
        if (const auto* start =
                std::get_if<request_scheduler::start>(&action)) {
          running.push_back(start->attempt);
        }
      }
    };
    for (std::size_t i = 0; i < count + policy.slots; ++i) {
      enqueue();
    }
    memory.push_back({size, HeapBytes() - before});
    time.push_back(
        {size, MeanCpuTime(2000, [&] {
           enqueue();
           const attempt_id ended = running.front();
           running.erase(running.begin());
           const request_scheduler::finished finished{ended, 100};
           for (const auto& action : scheduler.Handle(finished, kStart)) {
             if (const auto* start =
                     std::get_if<request_scheduler::start>(&action)) {
               running.push_back(start->attempt);
             }
           }
         })});
  }
  PrintSeries("schedule_one_attempt", "us", time);
  PrintSeries("scheduler_memory", "bytes", memory);
}

/// \brief The size is the number of answered claims with 200-byte bodies.
void MeasureJournal() {
  std::vector<sample> bytes;
  std::vector<sample> encode;
  std::vector<sample> decode;
  for (const std::size_t count : {100U, 500U, 1500U}) {
    const auto size = static_cast<double>(count);
    journal_document document{1796000000000, "1796000000000-abcdef", {}};
    const std::string body(200, 'b');
    for (std::size_t i = 0; i < count; ++i) {
      document.records[idempotency_key(Name("workspace-17/key-", i))] = {
          claim_state::kAnswered, digest::Of(Name("r", i)),
          stored_answer{200, "application/json", body, digest::Of(body)}};
    }
    const std::string text = EncodeJournal(document);
    bytes.push_back({size, static_cast<double>(text.size())});
    encode.push_back({size, MeanCpuTime(20, [&] { EncodeJournal(document); })});
    decode.push_back({size, MeanCpuTime(20, [&] { DecodeJournal(text); })});
  }
  PrintSeries("journal_text", "bytes", bytes);
  PrintSeries("journal_encode", "us", encode);
  PrintSeries("journal_decode", "us", decode);
}

/// \brief The size is the number of agents that fetch the version.
void MeasureFetcher() {
  constexpr std::size_t kChunks = 256;
  std::vector<sample> memory;
  std::vector<sample> have_time;
  for (const std::size_t count : {100U, 350U, 1400U}) {
    const auto size = static_cast<double>(count);
    auto content = std::make_shared<manifest>();
    content->name = digest::Of("manifest");
    for (std::size_t i = 0; i < kChunks; ++i) {
      content->chunks.push_back({digest::Of(Name("chunk", i)), 32U << 20U});
    }
    fetch_members_changed members;
    for (const vm_id& vm : MakeVms("akl-m", count)) {
      members.members.push_back(
          {vm, data_centre_id("akl"), region_id("north")});
    }
    const double before = HeapBytes();
    chunk_fetcher<rarest_first_policy> fetcher(
        {members.members.front(), {}, {}}, 1);
    fetcher.Handle(members, kStart);
    fetcher.Handle(
        target_changed{model_name("cue"), model_version("v2"), content},
        kStart);
    memory.push_back({size, HeapBytes() - before});
    peer_announcement have{members.members[1].vm, content->name,
                           chunk_bitmap(kChunks)};
    std::size_t next = 0;
    have_time.push_back({size, MeanCpuTime(kChunks, [&] {
                           have.chunks.Set(next++);
                           fetcher.Handle(have, kStart);
                           fetcher.NextDeadline();
                         })});
  }
  PrintSeries("fetcher_memory", "bytes", memory);
  PrintSeries("fetcher_announcement", "us", have_time);
}

struct benchmark {
  const char* name;
  void (*measure)();
};

constexpr std::array<benchmark, 8> kBenchmarks = {{
    {"messages", MeasureMessages},
    {"members", MeasureMembers},
    {"configuration", MeasureConfiguration},
    {"routing", MeasureRouting},
    {"admission", MeasureAdmission},
    {"scheduling", MeasureScheduling},
    {"journal", MeasureJournal},
    {"fetcher", MeasureFetcher},
}};

int Main(int argc, char** argv) {
  for (const benchmark& part : kBenchmarks) {
    if (argc < 2 || std::strcmp(argv[1], part.name) == 0) {
      part.measure();
    }
  }
  return 0;
}

}  // namespace
}  // namespace fireflyslip

int main(int argc, char** argv) {
  return fireflyslip::Main(argc, argv);
}
