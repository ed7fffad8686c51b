#ifndef FIREFLYSLIP_PROGRAM_CHUNK_ANNOUNCEMENT_H_
#define FIREFLYSLIP_PROGRAM_CHUNK_ANNOUNCEMENT_H_

#include <cstddef>
#include <optional>

#include "fireflyslip/distribution.h"
#include "fireflyslip/link.h"

namespace fireflyslip {

/// \brief Makes the link message that announces the available chunks of a
/// manifest.
chunk_have_message MakeAnnouncement(const digest& manifest_name,
                                    const chunk_bitmap& chunks);

/// \brief Parses the bitmap of an announcement for a manifest with `chunks`
/// distinct chunks. Returns nothing if the message is malformed.
std::optional<chunk_bitmap> ParseAnnouncement(const chunk_have_message& message,
                                              std::size_t chunks);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_CHUNK_ANNOUNCEMENT_H_
