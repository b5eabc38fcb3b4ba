#include "systems/scheduling/queue_registry.hpp"

#include "systems/configuration/queue_record.hpp"

namespace cowslippass
{

void queue_registry::load(const queue_id& queue, const std::string& record)
{
    entry& it = entries_[queue];
    it.config = decode_queue_config(record);
    it.stored_record = record;
    changed_queues_.insert(queue);
}

void queue_registry::set_published(
    const std::map<queue_id, queue_config>& queues)
{
    for (auto& [id, it] : entries_)
    {
        it.is_published = false;
        changed_queues_.insert(id);
    }
    for (const auto& [id, config] : queues)
    {
        entry& it = entries_[id];
        it.config = config;
        it.is_published = true;
        changed_queues_.insert(id);
    }
}

void queue_registry::add_job(const queue_id& queue)
{
    if (++entries_[queue].job_count == 1)
        changed_queues_.insert(queue);
}

void queue_registry::remove_job(const queue_id& queue)
{
    if (--entries_[queue].job_count == 0)
        changed_queues_.insert(queue);
}

const queue_config* queue_registry::find(const queue_id& queue) const
{
    auto it = entries_.find(queue);
    return it == entries_.end() || !it->second.config ? nullptr
                                                      : &*it->second.config;
}

std::vector<queue_registry::record_change> queue_registry::take_record_changes()
{
    std::vector<record_change> out;
    for (const queue_id& id : changed_queues_)
    {
        auto found = entries_.find(id);
        if (found == entries_.end())
            continue;
        entry& it = found->second;
        if (!it.is_published && it.job_count == 0)
        {
            if (!it.stored_record.empty())
                out.push_back({id, std::nullopt});
            entries_.erase(found);
            continue;
        }
        if (!it.config || it.job_count == 0)
            continue;
        std::string record = encode_queue_config(*it.config);
        if (record == it.stored_record)
            continue;
        it.stored_record = record;
        out.push_back({id, std::move(record)});
    }
    changed_queues_.clear();
    return out;
}

} // namespace cowslippass
