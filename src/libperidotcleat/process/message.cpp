#include "peridotcleat/message.h"

#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TVirtualTransport.h>

#include <algorithm>
#include <array>
#include <exception>
#include <memory>
#include <utility>

namespace peridotcleat {

namespace {

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

constexpr std::int16_t protocol_version = 1;

// Kind on the wire of each alternative of `message`, at the index of the alternative. A kind keeps its number
// and is never reused for another struct; if an alternative moves, its number moves with it. 15 was a query
// for one flow.
constexpr std::array<std::int16_t, std::variant_size_v<message>> message_kinds{
    1,  2,  3,  4,  5,  6,  7,  8,  9,  10, 11, 12, 13, 14, 16, 17,
    40, 41, 42, 43, 44, 45, 46, 47, 50, 51, 52, 53, 54, 55, 56};

constexpr std::array<std::int16_t, std::variant_size_v<caller_message>> caller_message_kinds{
    20, 21, 22, 23, 24, 25, 26, 27, 28, 29, 30, 31, 32, 33, 34};

// Buffer and protocol of one thread. They are reused, so that encoding a steady stream of packets does not
// allocate memory.
class encoder {
public:
    encoder() : buffer_(std::make_shared<TMemoryBuffer>(2048)), protocol_(buffer_) {}

    template <class T>
    void write(const T& value)
    {
        value.write(&protocol_);
    }

    void reset() { buffer_->resetBuffer(); }

    std::string_view bytes()
    {
        std::uint8_t* data = nullptr;
        std::uint32_t size = 0;
        buffer_->getBuffer(&data, &size);
        return {reinterpret_cast<const char*>(data), size};
    }

private:
    std::shared_ptr<TMemoryBuffer> buffer_;
    TCompactProtocolT<TMemoryBuffer> protocol_;
};

// Thrift transport that reads from bytes which it does not own. Thrift's TMemoryBuffer would allocate memory
// each time its buffer is set.
class span_reader : public apache::thrift::transport::TVirtualTransport<span_reader> {
public:
    explicit span_reader(const std::shared_ptr<TConfiguration>& configuration)
        : TVirtualTransport(configuration)
    {
    }

    void reset(std::string_view bytes)
    {
        remaining_ = bytes;
        resetConsumedMessageSize();
        resetConsumedMessageSize(static_cast<long>(bytes.size()));
    }

    // Thrift calls these functions by these names.
    // NOLINTBEGIN(readability-identifier-naming)
    std::uint32_t read(std::uint8_t* out, std::uint32_t length)
    {
        const std::size_t n = remaining_.copy(reinterpret_cast<char*>(out), length);
        remaining_.remove_prefix(n);
        return static_cast<std::uint32_t>(n);
    }

    const std::uint8_t* borrow(std::uint8_t* /*unused*/, std::uint32_t* length)
    {
        if (*length > remaining_.size()) {
            return nullptr;
        }
        *length = static_cast<std::uint32_t>(remaining_.size());
        return reinterpret_cast<const std::uint8_t*>(remaining_.data());
    }

    void consume(std::uint32_t length)
    {
        remaining_.remove_prefix(std::min<std::size_t>(length, remaining_.size()));
    }
    // NOLINTEND(readability-identifier-naming)

    [[nodiscard]] std::size_t remaining() const noexcept { return remaining_.size(); }

private:
    std::string_view remaining_;
};

class decoder {
public:
    decoder()
        : reader_(std::make_shared<span_reader>(
              std::make_shared<TConfiguration>(max_input, max_input, max_depth))),
          protocol_(reader_, max_input, max_container)
    {
    }

    void reset(std::string_view bytes) { reader_->reset(bytes); }

    template <class T>
    void read(T& value)
    {
        value.read(&protocol_);
    }

    [[nodiscard]] std::size_t remaining() const { return reader_->remaining(); }

private:
    // The largest inputs are snapshots of the replicated state.
    static constexpr int max_input = 64 << 20;
    static constexpr int max_container = 1 << 20;
    static constexpr int max_depth = 16;

    std::shared_ptr<span_reader> reader_;
    TCompactProtocolT<span_reader> protocol_;
};

encoder& thread_encoder()
{
    thread_local encoder instance;
    return instance;
}

template <class Body>
void write_datagram(std::int16_t kind, cluster_id cluster, const Body& body, std::string& out)
{
    encoder& e = thread_encoder();
    e.reset();
    wire::header h;
    h.protocol = protocol_version;
    h.kind = kind;
    h.cluster = cluster.value;
    e.write(h);
    e.write(body);
    out.assign(e.bytes());
}

template <class Variant, std::size_t Index = 0>
bool read_alternative(std::size_t index, decoder& d, Variant& out)
{
    if constexpr (Index < std::variant_size_v<Variant>) {
        if (index == Index) {
            d.read(out.template emplace<Index>());
            return true;
        }
        return read_alternative<Variant, Index + 1>(index, d, out);
    } else {
        return false;
    }
}

error decode_error(std::string_view bytes, const std::exception& e)
{
    // Thrift reports a read past the end as a transport or "no more data" error.
    const std::string_view thrift_error = e.what();
    const bool truncated = thrift_error.find("No more data") != std::string_view::npos ||
                           thrift_error.find("EndOfFile") != std::string_view::npos ||
                           thrift_error.find("MaxMessageSize") != std::string_view::npos;
    return {truncated ? error_code::message_truncated : error_code::message_malformed,
            "datagram of " + std::to_string(bytes.size()) + " bytes: " + std::string(thrift_error)};
}

template <class Variant, std::size_t Count>
result<Variant> read_datagram(std::string_view bytes, const std::array<std::int16_t, Count>& kinds,
                              const cluster_id* cluster)
{
    if (bytes.size() > max_datagram) {
        return error{error_code::message_too_large, std::to_string(bytes.size()) +
                                                        " bytes exceed the limit of " +
                                                        std::to_string(max_datagram)};
    }
    thread_local decoder d;
    try {
        d.reset(bytes);
        wire::header h;
        d.read(h);
        if (h.protocol != protocol_version) {
            return error{error_code::message_unknown_protocol,
                         "unknown protocol version " + std::to_string(h.protocol)};
        }
        if (cluster != nullptr && h.cluster != cluster->value) {
            return error{error_code::message_other_cluster,
                         "message of cluster " + std::to_string(h.cluster)};
        }
        std::size_t index = 0;
        while (index < Count && kinds[index] != h.kind) {
            ++index;
        }
        result<Variant> out{std::in_place_index<0>};
        if (!read_alternative(index, d, std::get<0>(out))) {
            return error{error_code::message_unknown_kind, "unknown message kind " + std::to_string(h.kind)};
        }
        if (d.remaining() != 0) {
            return error{error_code::message_malformed,
                         std::to_string(d.remaining()) + " bytes after the message"};
        }
        return out;
    } catch (const std::exception& e) {
        return decode_error(bytes, e);
    }
}

}  // namespace

void encode_into(cluster_id cluster, const message& m, std::string& out)
{
    const std::int16_t kind = message_kinds.at(m.index());
    std::visit([&](const auto& body) { write_datagram(kind, cluster, body, out); }, m);
}

std::string encode(cluster_id cluster, const message& m)
{
    std::string out;
    encode_into(cluster, m, out);
    return out;
}

result<message> decode(cluster_id cluster, std::string_view bytes)
{
    return read_datagram<message>(bytes, message_kinds, &cluster);
}

std::string encode(const caller_message& m)
{
    std::string out;
    const std::int16_t kind = caller_message_kinds.at(m.index());
    std::visit([&](const auto& body) { write_datagram(kind, cluster_id{}, body, out); }, m);
    return out;
}

result<caller_message> decode_caller(std::string_view bytes)
{
    return read_datagram<caller_message>(bytes, caller_message_kinds, nullptr);
}

template <class T>
std::string encode_struct(const T& value)
{
    encoder& e = thread_encoder();
    e.reset();
    e.write(value);
    return std::string(e.bytes());
}

template <class T>
result<T> decode_struct(std::string_view bytes)
{
    decoder d;
    try {
        d.reset(bytes);
        result<T> out{std::in_place_index<0>};
        d.read(std::get<0>(out));
        if (d.remaining() != 0) {
            return error{error_code::message_malformed,
                         std::to_string(d.remaining()) + " bytes after the struct"};
        }
        return out;
    } catch (const std::exception& e) {
        return decode_error(bytes, e);
    }
}

template std::string encode_struct(const wire::change&);
template std::string encode_struct(const wire::member_list&);
template std::string encode_struct(const wire::table_snapshot&);
template std::string encode_struct(const wire::log_entry&);
template std::string encode_struct(const wire::table_page&);
template std::string encode_struct(const wire::service_entry&);
template std::string encode_struct(const wire::target&);
template std::string encode_struct(const wire::node&);
template std::string encode_struct(const wire::route_entry&);
template std::string encode_struct(const wire::tombstone&);
template std::string encode_struct(const wire::patch&);
template result<wire::change> decode_struct(std::string_view);
template result<wire::member_list> decode_struct(std::string_view);
template result<wire::table_snapshot> decode_struct(std::string_view);
template result<wire::log_entry> decode_struct(std::string_view);
template result<wire::table_page> decode_struct(std::string_view);
template result<wire::patch> decode_struct(std::string_view);

}  // namespace peridotcleat
