// Compares the latency of the whole path through an entry with that of the
// engine or service itself.

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

/// \brief Latencies in milliseconds of the answers with status 200.
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

/// \brief One keep-alive connection, opened again after a failure.
class bench_connection {
 public:
  bench_connection(const target& target, const options& chosen)
      : target_(target) {
    request_.version(11);
    request_.method_string(chosen.method);
    request_.target(target.path);
    request_.set(http::field::host, "bench");
    request_.set(http::field::authorization, "Bearer " + chosen.key);
    request_.set(http::field::content_type, "application/json");
    request_.body() = chosen.body;
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

/// \brief Sends requests at fixed times, whether or not earlier ones are
/// answered. A latency counts from the planned time, so that a slow answer
/// that delays later requests is not hidden.
measurement Measure(const target& target, const options& chosen) {
  const auto total = static_cast<std::uint64_t>(chosen.rate * chosen.time);
  const auto start = clock_type::now();
  std::atomic<std::uint64_t> next = 0;
  std::vector<measurement> parts(chosen.connections);
  std::vector<std::thread> threads;
  threads.reserve(chosen.connections);
  for (measurement& part : parts) {
    threads.emplace_back([&] {
      bench_connection connection(target, chosen);
      for (std::uint64_t i = next++; i < total; i = next++) {
        const auto planned =
            start + std::chrono::duration_cast<clock_type::duration>(
                        float_seconds(static_cast<double>(i) / chosen.rate));
        std::this_thread::sleep_until(planned);
        if (connection.Send()) {
          const float_seconds latency = clock_type::now() - planned;
          part.latencies.push_back(latency.count() * 1000);
        } else {
          ++part.failures;
        }
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  measurement all;
  all.elapsed = float_seconds(clock_type::now() - start).count();
  for (const measurement& part : parts) {
    all.failures += part.failures;
    all.latencies.insert(all.latencies.end(), part.latencies.begin(),
                         part.latencies.end());
  }
  std::sort(all.latencies.begin(), all.latencies.end());
  return all;
}

double Percentile(const std::vector<double>& sorted, double part) {
  if (sorted.empty()) {
    return 0;
  }
  const auto rank =
      static_cast<std::size_t>(part * static_cast<double>(sorted.size()));
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

int Run(const options& chosen) {
  const auto direct = ParseEndpoint(chosen.direct);
  const auto entry = ParseEndpoint(chosen.entry);
  if (!direct || !entry) {
    std::cerr << "--entry and --direct need IP:PORT\n";
    return 2;
  }
  const target direct_target{
      *direct, chosen.direct_path.empty() ? chosen.path : chosen.direct_path};
  const target entry_target{*entry, chosen.path};
  const measurement without = Measure(direct_target, chosen);
  Print("direct", without);
  const measurement with = Measure(entry_target, chosen);
  Print("entry", with);
  std::cout << "overhead_p50_ms="
            << Percentile(with.latencies, 0.5) -
                   Percentile(without.latencies, 0.5)
            << " overhead_p99_ms="
            << Percentile(with.latencies, 0.99) -
                   Percentile(without.latencies, 0.99)
            << std::endl;
  return with.failures + without.failures == 0 ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  options chosen;
  CLI::App app("Latency through an entry and directly at the upstream");
  app.add_option("--entry", chosen.entry, "IP:PORT of the entry")->required();
  app.add_option("--direct", chosen.direct, "IP:PORT of the upstream")
      ->required();
  app.add_option("--rate", chosen.rate, "requests a second");
  app.add_option("--time", chosen.time, "seconds for each path");
  app.add_option("--connections", chosen.connections, "keep-alive connections");
  app.add_option("--method", chosen.method, "HTTP method");
  app.add_option("--path", chosen.path, "path at the entry");
  app.add_option("--direct-path", chosen.direct_path,
                 "path at the upstream, if it differs");
  app.add_option("--body", chosen.body, "body of each request");
  app.add_option("--key", chosen.key, "caller key");
  CLI11_PARSE(app, argc, argv);
  return Run(chosen);
}
