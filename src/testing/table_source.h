#pragma once

#include <cstdint>
#include <cstdlib>
#include <iterator>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "peridotcleat/table_state.h"

namespace peridotcleat::testing {

/// Returns the number of seeds of a randomised test: PERIDOTCLEAT_SEEDS, or `default_count` if it is not set.
inline std::uint64_t seed_count(std::uint64_t default_count)
{
    // Safe because tests read the environment before they start any thread.
    const char* text = std::getenv("PERIDOTCLEAT_SEEDS");  // NOLINT(concurrency-mt-unsafe)
    return text == nullptr ? default_count : std::strtoull(text, nullptr, 10);
}

inline wire::service_entry make_service(std::string name, const std::vector<endpoint>& addresses)
{
    wire::service_entry s;
    s.name = std::move(name);
    for (const endpoint& a : addresses) {
        s.addresses.push_back(to_wire(a));
    }
    return s;
}

enum class operation : std::int8_t { add = 1, change = 2, remove = 3 };

inline wire::patch_operation make_operation(operation kind, const wire::service_entry& value)
{
    wire::patch_operation op;
    op.kind = static_cast<std::int8_t>(kind);
    op.name = value.name;
    if (kind != operation::remove) {
        op.__set_value(value);
    }
    return op;
}

inline wire::change make_patch(std::int64_t time_ms, std::string id, std::int64_t base,
                               std::vector<wire::patch_operation> operations)
{
    wire::patch p;
    p.patch_id = std::move(id);
    p.base = base;
    p.operations = std::move(operations);
    wire::change c;
    c.time_ms = time_ms;
    c.__set_new_patch(p);
    return c;
}

inline wire::change make_target_join(std::int64_t time_ms, service_id service, const endpoint& agent,
                                     std::int64_t nonce, std::int32_t slots = 7)
{
    wire::target_join j;
    j.value.service_id = service.value;
    j.value.agent = to_wire(agent);
    j.value.name = "upstream-" + std::to_string(agent.address & 0xffffU) + "-" + std::to_string(agent.port);
    j.value.zone = "recife";
    j.value.slots = slots;
    j.value.connections = 2000;
    j.value.nonce = nonce;
    wire::change c;
    c.time_ms = time_ms;
    c.__set_join_target(j);
    return c;
}

inline wire::change make_target_drain(std::int64_t time_ms, incarnation id)
{
    wire::change c;
    c.time_ms = time_ms;
    c.__set_drain_target(id.value);
    return c;
}

inline wire::change make_target_leave(std::int64_t time_ms, incarnation id)
{
    wire::change c;
    c.time_ms = time_ms;
    c.__set_leave_target(id.value);
    return c;
}

inline wire::change make_node_join(std::int64_t time_ms, const endpoint& control, std::int64_t nonce)
{
    wire::node_join j;
    j.value.control = to_wire(control);
    j.value.name = "balancer-" + std::to_string(control.port);
    j.value.zone = "salvador";
    j.value.nonce = nonce;
    wire::change c;
    c.time_ms = time_ms;
    c.__set_join_node(j);
    return c;
}

inline wire::change make_node_leave(std::int64_t time_ms, incarnation id)
{
    wire::change c;
    c.time_ms = time_ms;
    c.__set_leave_node(id.value);
    return c;
}

/// Returns the revision that the next change of `table` gets.
inline revision next_revision(const table_state& table) { return {table.current_revision().value + 1}; }

/// Fills an empty table with services of one address each, targets spread evenly over the services, and
/// nodes.
inline void fill_table(table_state& table, std::size_t services, std::size_t targets, std::size_t nodes)
{
    constexpr std::uint32_t base_address = 0x7f000000U;
    for (std::size_t i = 0; i < services; ++i) {
        const endpoint address{base_address + static_cast<std::uint32_t>(i) + 1, 80};
        table.apply(next_revision(table),
                    make_patch(1, "fill-" + std::to_string(i), table.version().value,
                               {make_operation(operation::add,
                                               make_service("service-" + std::to_string(i), {address}))}));
    }
    for (std::size_t i = 0; i < targets; ++i) {
        const endpoint agent{base_address + 0x10000U + static_cast<std::uint32_t>(i), 9000};
        const service_id service{static_cast<std::int64_t>(i % services) + 1};
        table.apply(next_revision(table),
                    make_target_join(1, service, agent, static_cast<std::int64_t>(i) + 1));
    }
    for (std::size_t i = 0; i < nodes; ++i) {
        const endpoint control{base_address + 0x20000U + static_cast<std::uint32_t>(i), 7000};
        table.apply(next_revision(table), make_node_join(1, control, static_cast<std::int64_t>(i) + 1));
    }
}

/// Generates random changes from small sets of names, addresses and agents, so that conflicts, replacements
/// and refusals are frequent.
class change_source {
public:
    explicit change_source(std::uint64_t seed) : random_(seed) {}

    /// Returns the next change for a table in the state `table`. The time stamps increase by less than 20 s
    /// each.
    wire::change next(const table_state& table)
    {
        time_ms_ += static_cast<std::int64_t>(random_below(20'000));
        switch (random_below(10)) {
        case 0:
        case 1:
        case 2: return next_patch(table);
        case 3:
        case 4:
        case 5: return next_join(table);
        case 6: return make_target_drain(time_ms_, random_key(table.targets()));
        case 7: return make_target_leave(time_ms_, random_key(table.targets()));
        case 8: return make_node_join(time_ms_, {0x7f000002U, port(7000, 6)}, nonce());
        default: return make_node_leave(time_ms_, random_key(table.nodes()));
        }
    }

    std::uint64_t random_below(std::uint64_t limit) { return random_() % limit; }
    std::mt19937_64& random() noexcept { return random_; }
    [[nodiscard]] std::int64_t time_ms() const noexcept { return time_ms_; }

    /// Returns a patch of one to three operations. The base of one patch in eight is shifted by -3 to 1, 0
    /// included, from the current version.
    wire::change next_patch(const table_state& table)
    {
        std::vector<wire::patch_operation> operations;
        const std::uint64_t count = 1 + random_below(3);
        for (std::uint64_t i = 0; i < count; ++i) {
            operations.push_back(next_operation(table));
        }
        std::int64_t base = table.version().value;
        if (random_below(8) == 0) {
            base += static_cast<std::int64_t>(random_below(5)) - 3;
        }
        return make_patch(time_ms_, "patch-" + std::to_string(++patch_count_), base, std::move(operations));
    }

private:
    std::uint16_t port(std::uint16_t first, std::uint64_t count)
    {
        return static_cast<std::uint16_t>(first + random_below(count));
    }

    std::int64_t nonce() { return static_cast<std::int64_t>(1 + random_below(3)); }

    // Returns the key of an object in `map`, or in one of ten calls an id that may not be in it.
    template <class Map>
    typename Map::key_type random_key(const Map& map)
    {
        if (map.empty() || random_below(10) == 0) {
            return {static_cast<std::int64_t>(1 + random_below(50))};
        }
        return std::next(map.begin(), static_cast<std::ptrdiff_t>(random_below(map.size())))->first;
    }

    wire::change next_join(const table_state& table)
    {
        auto c = make_target_join(time_ms_, random_key(table.services()), {0x7f000001U, port(9000, 12)},
                                  nonce(), static_cast<std::int32_t>(1 + random_below(9)));
        if (random_below(4) == 0) {
            c.join_target.__set_replaces(random_key(table.targets()).value);
        }
        return c;
    }

    wire::patch_operation next_operation(const table_state& table)
    {
        std::vector<endpoint> addresses;
        for (std::uint64_t i = 0; i < 1 + random_below(2); ++i) {
            addresses.push_back({0x7f000100U, port(80, 16)});
        }
        auto value = make_service("service-" + std::to_string(random_below(8)), addresses);
        if (random_below(2) == 0) {
            value.__set_queue_per_slot(static_cast<std::int32_t>(random_below(1100)));
        }
        const bool exists = table.find_service(value.name).has_value();
        // Most operations are valid for the table, some are not.
        const std::uint64_t kind = random_below(10);
        if (kind == 0) {
            return make_operation(operation::remove, value);
        }
        return make_operation(exists != (kind == 1) ? operation::change : operation::add, value);
    }

    std::mt19937_64 random_;
    std::int64_t time_ms_ = 1'000'000;
    std::uint64_t patch_count_ = 0;
};

}  // namespace peridotcleat::testing
