#include "program/chunk_transfer.h"

#include <utility>

namespace fireflyslip {
namespace {

using boost::asio::awaitable;

/// A transfer without a byte for this time counts as stalled.
constexpr seconds kProgressTimeout{5};
constexpr int kServiceUnavailable = 503;

error Failed(error_kind kind, std::string detail) {
  return {kind, std::move(detail)};
}

error_kind KindOf(int http_status) {
  switch (http_status) {
    case 404:
      return error_kind::kNotFound;
    case kServiceUnavailable:
      return error_kind::kOverloaded;
    default:
      return error_kind::kUpstreamFailed;
  }
}

}  // namespace

chunk_transfer::chunk_transfer(http_client& client,
                               http_endpoint source,
                               chunk_entry chunk)
    : client_(client), source_(std::move(source)), chunk_(chunk) {}

awaitable<result<std::string>> chunk_transfer::Run() {
  http_request request;
  request.target = "/chunks/" + chunk_.name.ToHex();
  const auto opened =
      co_await client_.Open(source_, std::move(request), kProgressTimeout);
  if (!IsOk(opened)) {
    co_return ErrorOf(opened);
  }
  reader_ = ValueOf(opened);
  const int http_status = reader_->head().status;
  if (http_status != 200) {
    co_return Failed(KindOf(http_status),
                     "status " + std::to_string(http_status));
  }
  std::string bytes;
  bytes.reserve(chunk_.size);
  while (!cancelled_) {
    const result<std::string> part = co_await reader_->Read(kProgressTimeout);
    if (!IsOk(part)) {
      co_return ErrorOf(part);
    }
    if (ValueOf(part).empty()) {
      break;
    }
    bytes += ValueOf(part);
    if (bytes.size() > chunk_.size) {
      co_return Failed(error_kind::kCorruptData, "more bytes than declared");
    }
  }
  if (cancelled_) {
    co_return Failed(error_kind::kUpstreamFailed, "cancelled");
  }
  if (digest::Of(bytes) != chunk_.name) {
    co_return Failed(error_kind::kCorruptData, "the digest differs");
  }
  co_return bytes;
}

void chunk_transfer::Cancel() {
  cancelled_ = true;
  if (reader_ != nullptr) {
    reader_->Cancel();
  }
}

}  // namespace fireflyslip
