#include "peridotcleat/flow_routes.h"

#include <utility>

#include "peridotcleat/segment.h"

namespace peridotcleat {

std::int64_t service_key(std::string_view name) noexcept
{
    return static_cast<std::int64_t>(hash_bytes(name));
}

const flow_service& flow_route::choose(const flow_key& key) const noexcept
{
    std::uint64_t point = total_weight == 0 ? 0 : hash_of(key) % total_weight;
    for (const backend& b : backends) {
        if (point < b.weight) {
            return *b.service;
        }
        point -= b.weight;
    }
    return *backends.front().service;
}

std::vector<const flow_service*> flow_route::services_with_flows() const
{
    std::vector<const flow_service*> all;
    for (const backend& b : backends) {
        all.push_back(b.service.get());
    }
    for (const auto& former : former_services) {
        all.push_back(former.get());
    }
    return all;
}

std::shared_ptr<const flow_routes> flow_routes::build(const table_state& table)
{
    auto routes = std::make_shared<flow_routes>();
    routes->table_revision_ = table.current_revision();
    routes->version_ = table.document().version;
    std::unordered_map<std::int64_t, std::shared_ptr<flow_service>> services;
    for (const auto& [id, entry] : table.services()) {
        services[id.value] =
            std::make_shared<flow_service>(flow_service{service_key(entry.name), entry.name, {}});
    }
    for (const auto& [id, target] : table.targets()) {
        if (const auto it = services.find(target.service_id); it != services.end()) {
            it->second->targets.push_back({from_wire(target.agent), target.zone,
                                           static_cast<std::uint32_t>(target.slots), target.draining,
                                           target.lost});
        }
    }
    for (const auto& [number, entry] : table.routes()) {
        flow_route& route = routes->by_address_[number];
        for (const wire::route_backend& b : entry.backends) {
            if (const auto it = services.find(b.service_id); it != services.end()) {
                route.backends.push_back({it->second, static_cast<std::uint32_t>(b.weight)});
                route.total_weight += static_cast<std::uint32_t>(b.weight);
            }
        }
        for (const wire::route_former& former : entry.formers) {
            if (const auto it = services.find(former.service_id); it != services.end()) {
                route.former_services.push_back(it->second);
            }
        }
        if (route.backends.empty()) {
            routes->by_address_.erase(number);
        }
    }
    return routes;
}

const flow_route* flow_routes::find(const endpoint& address) const noexcept
{
    const auto it = by_address_.find(route_number(address));
    return it == by_address_.end() ? nullptr : &it->second;
}

}  // namespace peridotcleat
