// Measures the end-to-end latency through an entry and compares it with that of
// direct requests to the engine or service.

#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <iomanip>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using clock_type = std::chrono::steady_clock;
using float_seconds = std::chrono::duration<double>;

struct options {
  std::string entry;
  std::string direct;
  double rate = 1000;
  double time = 10;
  unsigned connections = 64;
  std::string method = "POST";
  std::string path = "/v1/chat/completions";
  std::string direct_path;
  std::string body = R"({"model":"cue","max_tokens":1,)"
                     R"("messages":[{"role":"user","content":"hi"}]})";
  std::string key;
};

struct target {
  asio::ip::tcp::endpoint endpoint;
  std::string path;
};

/// \brief Latencies in milliseconds of the responses with status 200.
struct measurement {
  std::vector<double> latencies;
  std::uint64_t failures = 0;
  double elapsed = 0;  // seconds
};

std::optional<asio::ip::tcp::endpoint> ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  boost::system::error_code code;
  const auto address = asio::ip::make_address(text.substr(0, colon), code);
  if (colon == std::string::npos || code) {
    return std::nullopt;
  }
  const int port = std::atoi(text.c_str() + colon + 1);
  return asio::ip::tcp::endpoint(address, static_cast<std::uint16_t>(port));
}

/// \brief Keep-alive connection that is reopened after a failure.
class bench_connection {
 public:
  bench_connection(const target& target, const options& config)
      : target_(target) {
    request_.version(11);
    request_.method_string(config.method);
    request_.target(target.path);
    request_.set(http::field::host, "bench");
    request_.set(http::field::authorization, "Bearer " + config.key);
    request_.set(http::field::content_type, "application/json");
    request_.body() = config.body;
    request_.prepare_payload();
  }

  bool Send() {
    boost::system::error_code code;
    if (!socket_) {
      socket_.emplace(context_);
      socket_->connect(target_.endpoint, code);
      if (!code) {
        socket_->set_option(asio::ip::tcp::no_delay(true), code);
      }
    }
    if (!code) {
      http::write(*socket_, request_, code);
    }
    http::response<http::string_body> answer;
    if (!code) {
      http::read(*socket_, buffer_, answer, code);
    }
    if (code || !answer.keep_alive()) {
      socket_.reset();
      buffer_.clear();
    }
    return !code && answer.result_int() == 200;
  }

 private:
  const target& target_;
  asio::io_context context_;
  std::optional<asio::ip::tcp::socket> socket_;
  boost::beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
};

/// \brief Sends requests on a fixed schedule, up to one per connection at a
/// time. Latency is measured from the scheduled time, which avoids coordinated
/// omission: a slow response also counts towards the requests that it delays.
measurement Measure(const target& target, const options& config) {
  const auto total = static_cast<std::uint64_t>(config.rate * config.time);
  const auto start = clock_type::now();
  std::atomic<std::uint64_t> next = 0;
  std::vector<measurement> partials(config.connections);
  std::vector<std::thread> threads;
  threads.reserve(config.connections);
  for (measurement& partial : partials) {
    threads.emplace_back([&] {
      bench_connection connection(target, config);
      for (std::uint64_t i = next++; i < total; i = next++) {
        const auto scheduled =
            start + std::chrono::duration_cast<clock_type::duration>(
                        float_seconds(static_cast<double>(i) / config.rate));
        std::this_thread::sleep_until(scheduled);
        if (connection.Send()) {
          const float_seconds latency = clock_type::now() - scheduled;
          partial.latencies.push_back(latency.count() * 1000);
        } else {
          ++partial.failures;
        }
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  measurement combined;
  combined.elapsed = float_seconds(clock_type::now() - start).count();
  for (const measurement& partial : partials) {
    combined.failures += partial.failures;
    combined.latencies.insert(combined.latencies.end(),
                              partial.latencies.begin(),
                              partial.latencies.end());
  }
  std::sort(combined.latencies.begin(), combined.latencies.end());
  return combined;
}

double Percentile(const std::vector<double>& sorted, double fraction) {
  if (sorted.empty()) {
    return 0;
  }
  const auto rank =
      static_cast<std::size_t>(fraction * static_cast<double>(sorted.size()));
  return sorted[std::min(rank, sorted.size() - 1)];
}

void Print(const std::string& name, const measurement& measured) {
  std::cout << "path=" << name << std::fixed << std::setprecision(3)
            << " p50_ms=" << Percentile(measured.latencies, 0.5)
            << " p99_ms=" << Percentile(measured.latencies, 0.99)
            << " requests_per_second="
            << static_cast<double>(measured.latencies.size()) / measured.elapsed
            << " answered=" << measured.latencies.size()
            << " failed=" << measured.failures << std::endl;
}

int Run(const options& config) {
  const auto direct = ParseEndpoint(config.direct);
  const auto entry = ParseEndpoint(config.entry);
  if (!direct || !entry) {
    std::cerr << "--entry and --direct must be IP:PORT\n";
    return 2;
  }
  const target direct_target{
      *direct, config.direct_path.empty() ? config.path : config.direct_path};
  const target entry_target{*entry, config.path};
  const measurement direct_result = Measure(direct_target, config);
  Print("direct", direct_result);
  const measurement entry_result = Measure(entry_target, config);
  Print("entry", entry_result);
  std::cout << "overhead_p50_ms="
            << Percentile(entry_result.latencies, 0.5) -
                   Percentile(direct_result.latencies, 0.5)
            << " overhead_p99_ms="
            << Percentile(entry_result.latencies, 0.99) -
                   Percentile(direct_result.latencies, 0.99)
            << std::endl;
  return entry_result.failures + direct_result.failures == 0 ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  options config;
  CLI::App app(
      "Compares latency through an entry with direct upstream latency");
  app.add_option("--entry", config.entry, "IP:PORT of the entry")->required();
  app.add_option("--direct", config.direct, "IP:PORT of the upstream")
      ->required();
  app.add_option("--rate", config.rate, "requests per second");
  app.add_option("--time", config.time, "duration per path in seconds");
  app.add_option("--connections", config.connections, "keep-alive connections");
  app.add_option("--method", config.method, "HTTP method");
  app.add_option("--path", config.path, "path at the entry");
  app.add_option("--direct-path", config.direct_path,
                 "path at the upstream, if it differs");
  app.add_option("--body", config.body, "body of each request");
  app.add_option("--key", config.key, "API key of the workspace");
  CLI11_PARSE(app, argc, argv);
  return Run(config);
}
