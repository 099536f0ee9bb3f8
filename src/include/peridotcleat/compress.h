#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "peridotcleat/result.h"

namespace peridotcleat {

/// Compresses `bytes` in the zlib format.
std::string compress(std::string_view bytes);

/// Decompresses the output of `compress`. Fails with `message_malformed` if the data is damaged and with
/// `message_too_large` if the result has more than `limit` bytes.
result<std::string> decompress(std::string_view compressed, std::size_t limit);

}  // namespace peridotcleat
