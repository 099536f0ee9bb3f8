#include "peridotcleat/balancer.h"

namespace peridotcleat {

error_code route(const route_table& table, const flow_key& key, route_decision& decision) noexcept
{
    const service_routes* routes = table.find(key.destination);
    if (routes == nullptr) {
        return error_code::wrong_service;
    }
    if (!routes->has_owner) {
        return error_code::no_target;
    }
    const route_target& owner = routes->targets[routes->owners[bucket_of(key)]];
    decision.service = routes->service;
    decision.owner = owner.id;
    decision.agent = owner.agent;
    decision.table_revision = table.table_revision();
    return error_code::ok;
}

}  // namespace peridotcleat
