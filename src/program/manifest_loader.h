#ifndef FIREFLYSLIP_PROGRAM_MANIFEST_LOADER_H_
#define FIREFLYSLIP_PROGRAM_MANIFEST_LOADER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fireflyslip/distribution.h"
#include "fireflyslip/http.h"

namespace fireflyslip {

/// \brief A declared version and the digest of its manifest.
struct manifest_target {
  model_name model;
  model_version version;
  digest name;

  auto operator<=>(const manifest_target&) const = default;
};

/// \brief Where manifests are read: the origin and the peers of the model in
/// the data centre, in an order that all of them compute identically.
struct manifest_sources {
  std::optional<http_endpoint> origin;
  std::vector<http_endpoint> order;  ///< Admin ports, with the own one.
  std::size_t own_position = 0;
};

/// \brief Reads the manifest of the declared version and keeps the texts of
/// the last few for peers and for load orders.
///
/// The first peer of the order reads it from the origin; each other one asks
/// the peer at position (p - 1) / 4, so that a manifest of some megabytes
/// loads neither the origin nor one peer for all. After several failures the
/// origin and further peers are asked in turn, with back-off.
class manifest_loader {
 public:
  using loaded_function =
      std::function<void(const manifest_target& target,
                         std::shared_ptr<const manifest> content)>;

  manifest_loader(boost::asio::io_context& context, loaded_function on_loaded);

  void set_sources(manifest_sources sources) { sources_ = std::move(sources); }

  /// \brief Replaces the target; `on_loaded` follows when it has been read.
  void Load(const manifest_target& target);

  /// \brief Text of a manifest that was read, or null.
  const std::string* FindText(const digest& name) const;
  const std::string* FindText(const model_name& model,
                              const model_version& version) const;

 private:
  struct loaded {
    manifest_target target;
    std::string text;
    std::shared_ptr<const manifest> content;
  };
  struct source {
    http_endpoint endpoint;
    bool is_origin = false;
  };

  boost::asio::awaitable<void> Run(std::uint64_t generation);
  boost::asio::awaitable<result<std::string>> Read(const source& from);
  std::optional<source> SourceOf(std::size_t attempt) const;
  bool Accept(std::string text);

  boost::asio::io_context& context_;
  loaded_function on_loaded_;
  http_client client_;
  manifest_sources sources_;
  manifest_target target_;
  std::uint64_t generation_ = 0;
  std::deque<loaded> loaded_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_MANIFEST_LOADER_H_
