#include "peridotcleat/route_table.h"

#include <algorithm>
#include <bit>

namespace peridotcleat {

namespace {

constexpr unsigned fraction_bits = 40;
constexpr unsigned log_table_bits = 10;
constexpr std::uint64_t bucket_salt = 0x6275636b65740000ULL;
constexpr std::uint64_t second_candidate_salt = 0x7365636f6e640000ULL;

// Returns log2(1 + i / 2^log_table_bits) with `fraction_bits` fractional bits, by repeated squaring.
constexpr std::uint64_t fixed_log2(std::uint64_t i)
{
    std::uint64_t x = (std::uint64_t{1} << 31U) + (i << (31U - log_table_bits));
    std::uint64_t log = 0;
    for (unsigned bit = 0; bit < fraction_bits; ++bit) {
        x = (x * x) >> 31U;
        log <<= 1U;
        if ((x >> 32U) != 0) {
            x >>= 1U;
            log |= 1U;
        }
    }
    return log;
}

constexpr std::size_t log_table_size = std::size_t{1} << log_table_bits;

constexpr auto log_table = [] {
    std::array<std::uint64_t, log_table_size + 1> table{};
    for (std::size_t i = 0; i < log_table_size; ++i) {
        table[i] = fixed_log2(i);
    }
    table[log_table_size] = std::uint64_t{1} << fraction_bits;
    return table;
}();

std::uint64_t address_key(const endpoint& e) noexcept { return (std::uint64_t{e.address} << 16U) | e.port; }

// Hashes the endpoint of the agent instead of the incarnation, so that a restarted target owns the same
// buckets as before the restart and no other bucket moves.
std::uint64_t target_hash(const route_target& t, std::uint64_t salt) noexcept
{
    return combine(address_key(t.agent), salt);
}

// Returns the target with the lowest quotient of score and weight for `hash`, among the targets whose
// `draining` equals the argument, without the target `excluded`.
std::optional<std::size_t> best_target(const std::vector<route_target>& targets, std::uint64_t hash,
                                       std::uint64_t salt, bool draining, incarnation excluded) noexcept
{
    std::optional<std::size_t> best;
    std::uint64_t best_score = 0;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        const route_target& t = targets[i];
        if (t.draining != draining || t.id == excluded) {
            continue;
        }
        const std::uint64_t score = rendezvous_score(combine(hash, target_hash(t, salt)));
        // Compares score / weight without division. Scores are at most 2^46 and weights are below 2^16, so
        // the products fit 64 bits.
        if (!best || score * targets[*best].weight < best_score * t.weight) {
            best = i;
            best_score = score;
        }
    }
    return best;
}

std::uint64_t digest_of(const service_routes& r) noexcept
{
    std::uint64_t d = mix(static_cast<std::uint64_t>(r.service.value));
    for (const endpoint& a : r.addresses) {
        d = combine(d, address_key(a));
    }
    for (const route_target& t : r.targets) {
        d = combine(d, static_cast<std::uint64_t>(t.id.value));
        d = combine(d, address_key(t.agent));
        d = combine(d, (std::uint64_t{t.weight} << 1U) | (t.draining ? 1U : 0U));
    }
    for (const std::uint16_t owner : r.owners) {
        d = combine(d, r.has_owner ? owner + 1U : 0U);
    }
    return d;
}

void assign_owners(service_routes& r)
{
    r.has_owner = !r.targets.empty();
    r.all_draining = r.has_owner && std::ranges::all_of(r.targets, &route_target::draining);
    for (std::size_t bucket = 0; r.has_owner && bucket < bucket_count; ++bucket) {
        const auto best = best_target(r.targets, mix(bucket + 1), bucket_salt, r.all_draining, incarnation{});
        r.owners[bucket] = static_cast<std::uint16_t>(best.value_or(0));
    }
}

std::shared_ptr<const service_routes> derive_routes(const table_state& table,
                                                    const wire::service_entry& entry)
{
    auto r = std::make_shared<service_routes>();
    r->service = service_id{entry.id};
    for (const wire::endpoint& a : entry.addresses) {
        r->addresses.push_back(from_wire(a));
    }
    for (const incarnation id : table.targets_of(r->service)) {
        const wire::target& t = table.targets().at(id);
        r->targets.push_back(
            {id, from_wire(t.agent), static_cast<std::uint32_t>(std::max(t.slots, 1)), t.draining});
    }
    assign_owners(*r);
    r->digest = digest_of(*r);
    return r;
}

}  // namespace

std::uint64_t rendezvous_score(std::uint64_t hash) noexcept
{
    const std::uint64_t h = hash | 1U;
    const auto zeros = static_cast<unsigned>(std::countl_zero(h));
    const std::uint64_t mantissa = (h << zeros) << 1U;  // without the leading one bit
    const std::size_t index = mantissa >> (64U - log_table_bits);
    const std::uint64_t remainder = (mantissa << log_table_bits) >> 32U;
    const std::uint64_t lower = log_table[index];
    const std::uint64_t log = lower + (((log_table[index + 1] - lower) * remainder) >> 32U);
    return (std::uint64_t{zeros + 1} << fraction_bits) - log;
}

std::optional<std::size_t> service_routes::index_of(incarnation id) const noexcept
{
    const auto it = std::ranges::lower_bound(targets, id, {}, &route_target::id);
    if (it == targets.end() || it->id != id) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(it - targets.begin());
}

std::optional<std::size_t> service_routes::second_candidate(std::uint64_t flow_hash,
                                                            incarnation owner) const noexcept
{
    return best_target(targets, flow_hash, second_candidate_salt, false, owner);
}

std::shared_ptr<const route_table> route_table::build(const table_state& table)
{
    auto routes = std::make_shared<route_table>();
    routes->table_revision_ = table.current_revision();
    for (const auto& item : table.services()) {
        routes->add(table, item.first);
    }
    return routes;
}

std::shared_ptr<const route_table> route_table::rebuild(const route_table& previous, const table_state& table,
                                                        const std::vector<service_id>& changed_services)
{
    auto routes = std::make_shared<route_table>(previous);
    routes->table_revision_ = table.current_revision();
    // Removes all changed services before adding any, because an address may have moved between two of them.
    for (const service_id id : changed_services) {
        routes->remove(id);
    }
    for (const service_id id : changed_services) {
        if (!routes->routes_by_service_.contains(id)) {
            routes->add(table, id);
        }
    }
    return routes;
}

void route_table::add(const table_state& table, service_id id)
{
    const auto it = table.services().find(id);
    if (it == table.services().end()) {
        return;
    }
    const auto routes = derive_routes(table, it->second);
    digest_ += routes->digest;
    for (const endpoint& a : routes->addresses) {
        routes_by_address_[address_key(a)] = routes;
    }
    routes_by_service_[id] = routes;
}

void route_table::remove(service_id id)
{
    const auto it = routes_by_service_.find(id);
    if (it == routes_by_service_.end()) {
        return;
    }
    digest_ -= it->second->digest;
    for (const endpoint& a : it->second->addresses) {
        routes_by_address_.erase(address_key(a));
    }
    routes_by_service_.erase(it);
}

const service_routes* route_table::find(const endpoint& address) const noexcept
{
    const auto it = routes_by_address_.find(address_key(address));
    return it == routes_by_address_.end() ? nullptr : it->second.get();
}

const service_routes* route_table::find(service_id service) const noexcept
{
    const auto it = routes_by_service_.find(service);
    return it == routes_by_service_.end() ? nullptr : it->second.get();
}

}  // namespace peridotcleat
