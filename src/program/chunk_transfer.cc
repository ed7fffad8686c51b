#include "program/chunk_transfer.h"

#include <utility>

namespace fireflyslip {
namespace {

using boost::asio::awaitable;

/// A transfer is stalled if it receives no byte for this time.
constexpr seconds kProgressTimeout{5};
constexpr int kServiceUnavailable = 503;

error MakeError(error_kind kind, std::string detail) {
  return {kind, std::move(detail)};
}

error_kind ErrorKindOfStatus(int http_status) {
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
    co_return MakeError(ErrorKindOfStatus(http_status),
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
      co_return MakeError(
          error_kind::kCorruptData,
          "the source sent more bytes than the manifest declares");
    }
  }
  if (cancelled_) {
    co_return MakeError(error_kind::kUpstreamFailed, "cancelled");
  }
  if (digest::Of(bytes) != chunk_.name) {
    co_return MakeError(error_kind::kCorruptData,
                        "the bytes do not match the digest of the chunk");
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
