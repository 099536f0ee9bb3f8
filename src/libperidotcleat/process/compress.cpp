#include "peridotcleat/compress.h"

#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>

#include <array>
#include <sstream>

namespace peridotcleat {

std::string compress(std::string_view bytes)
{
    std::ostringstream out;
    Poco::DeflatingOutputStream deflater(out, Poco::DeflatingStreamBuf::STREAM_ZLIB);
    deflater.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    deflater.close();
    return out.str();
}

result<std::string> decompress(std::string_view compressed, std::size_t limit)
{
    std::istringstream in{std::string(compressed)};
    Poco::InflatingInputStream inflater(in, Poco::InflatingStreamBuf::STREAM_ZLIB);
    std::string bytes;
    std::array<char, 8192> block{};
    try {
        while (inflater.read(block.data(), block.size()) || inflater.gcount() > 0) {
            bytes.append(block.data(), static_cast<std::size_t>(inflater.gcount()));
            if (bytes.size() > limit) {
                return error{error_code::message_too_large, "more than " + std::to_string(limit) + " bytes"};
            }
        }
    } catch (const Poco::Exception& e) {
        return error{error_code::message_malformed, e.displayText()};
    }
    if (inflater.bad()) {
        return error{error_code::message_malformed, "the compressed bytes are damaged"};
    }
    return bytes;
}

}  // namespace peridotcleat
