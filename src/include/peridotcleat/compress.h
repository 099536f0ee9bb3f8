#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "peridotcleat/result.h"

namespace peridotcleat {

/// Compresses bytes.
std::string compress(std::string_view bytes);

/// Restores what `compress` was given. Fails with `message_malformed`, and with `message_too_large` above
/// `limit` bytes.
result<std::string> decompress(std::string_view compressed, std::size_t limit);

}  // namespace peridotcleat
