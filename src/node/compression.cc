#include "node/compression.h"

#include <zlib.h>

#include <cassert>

namespace fireflyslip {
namespace {

/// zlib takes its input through a non-const pointer, but does not write to it.
Bytef* Input(std::string_view bytes) {
  return reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
}

}  // namespace

std::string Compress(std::string_view bytes) {
  uLongf size = compressBound(bytes.size());
  std::string compressed(size, '\0');
  const int code = compress2(reinterpret_cast<Bytef*>(compressed.data()), &size,
                             Input(bytes), bytes.size(), Z_DEFAULT_COMPRESSION);
  assert(code == Z_OK);
  static_cast<void>(code);
  compressed.resize(size);
  return compressed;
}

std::optional<std::string> Decompress(std::string_view compressed,
                                      std::size_t max_bytes) {
  z_stream stream = {};
  if (inflateInit(&stream) != Z_OK) {
    return std::nullopt;
  }
  stream.next_in = Input(compressed);
  stream.avail_in = static_cast<uInt>(compressed.size());
  constexpr std::size_t kStep = 16UL << 10;
  std::string bytes;
  int code = Z_OK;
  while (code == Z_OK && bytes.size() <= max_bytes) {
    const std::size_t used = bytes.size();
    bytes.resize(used + kStep);
    stream.next_out = reinterpret_cast<Bytef*>(bytes.data() + used);
    stream.avail_out = kStep;
    code = inflate(&stream, Z_NO_FLUSH);
    bytes.resize(used + kStep - stream.avail_out);
  }
  inflateEnd(&stream);
  if (code != Z_STREAM_END || stream.avail_in != 0 ||
      bytes.size() > max_bytes) {
    return std::nullopt;
  }
  return bytes;
}

}  // namespace fireflyslip
