#include "Callers.h"

namespace rig {

void Ledger::add(const Outcome &outcome)
{
    const std::lock_guard lock(m_mutex);
    m_outcomes.push_back(outcome);
}

void Ledger::ran(const std::string &id, const std::string &target)
{
    const std::lock_guard lock(m_mutex);
    m_runs[id].push_back(target);
}

std::vector<Outcome> Ledger::lost()
{
    const std::lock_guard lock(m_mutex);
    std::vector<Outcome> lost;
    for (const Outcome &outcome : m_outcomes) {
        if (outcome.wasKept && outcome.wasSent && !outcome.isComplete && !outcome.hasTimedOut
            && m_runs.contains(outcome.id))
            lost.push_back(outcome);
    }
    return lost;
}

std::vector<Outcome> Ledger::all()
{
    const std::lock_guard lock(m_mutex);
    return m_outcomes;
}

std::vector<std::string> Ledger::runsOf(const std::string &id)
{
    const std::lock_guard lock(m_mutex);
    return m_runs[id];
}

std::size_t Ledger::count()
{
    const std::lock_guard lock(m_mutex);
    return m_outcomes.size();
}

std::string describe(const Outcome &outcome)
{
    return "request=" + outcome.id + " vm=" + outcome.vm
           + " kept=" + std::to_string(outcome.wasKept ? 1 : 0) + " result="
           + (outcome.isComplete    ? std::to_string(outcome.status)
              : outcome.hasTimedOut ? "gave-up"
                                    : "channel-ended-without-answer")
           + " ms="
           + std::to_string(
                   std::chrono::duration_cast<Millis>(outcome.endedAt - outcome.sentAt).count());
}

Outcome Caller::call(const std::string &method, const std::string &path, int deadlineMs,
                     const std::string *body, Link *link)
{
    Outcome outcome;
    outcome.id = requestId();
    outcome.vm = m_vm.plan().name;
    if (!m_channel) {
        m_isKept = false;
        m_channel = Channel::connect(m_vm.plan().ip, Vm::frontPort);
        if (!m_channel) {
            std::this_thread::sleep_for(Millis(50));
            return outcome;
        }
    }
    outcome.wasKept = m_isKept;
    outcome.sentAt = Clock::now();
    const Time until = outcome.sentAt + Millis(deadlineMs);
    const std::optional<std::size_t> size
            = body == nullptr ? std::nullopt : std::optional(body->size());
    m_record.line("sent request=" + outcome.id + " vm=" + outcome.vm + " " + method + " " + path
                  + " bytes=" + std::to_string(size.value_or(0)));
    outcome.wasSent
            = m_channel->send(requestHead(method, path, outcome.id, deadlineMs, size))
              && (body == nullptr
                  || (link != nullptr ? link->send(*m_channel, *body) : m_channel->send(*body)));
    // A long body may have been refused before it was read.
    const auto answer = m_channel->read(true, until);
    outcome.endedAt = Clock::now();
    outcome.isComplete = answer.has_value();
    outcome.status = answer ? answer->status() : 0;
    outcome.hasTimedOut = !answer && outcome.endedAt >= until;
    m_record.line("ended " + describe(outcome));
    m_ledger.add(outcome);
    m_isKept = answer.has_value();
    if (!answer || answer->field("connection") == "close")
        m_channel.reset();
    return outcome;
}

Deployment::Deployment(const Options &givenOptions, Target::Handler handler, int givenVmCount,
                       int deskCount, int archiveCount)
    : options(givenOptions)
    , record(options.record)
    , net("127." + std::to_string(freeSubnet()))
    , store(net + ".0.1", 8382)
    , vmCount(givenVmCount)
{
    for (int i = 0; i < deskCount + archiveCount; ++i) {
        TargetPlan plan;
        plan.id = "i-" + std::string(i < 10 ? "0" : "") + std::to_string(i);
        plan.service = i < deskCount ? "gauge-desk" : "gauge-archive";
        plan.zone = i % 2 == 0 ? "khomas-a" : "khomas-b";
        plan.ip = net + ".2." + std::to_string(i + 1);
        targets.push_back(std::make_unique<Target>(store, record, plan, handler));
    }
}

bool Deployment::start(const nlohmann::json &routes)
{
    store.put("config", "main", configuration(routes, { "gauge-desk", "gauge-archive" }));
    for (const auto &target : targets)
        target->start();
    for (int i = 0; i < vmCount; ++i) {
        VmPlan plan;
        plan.name = "edge-khomas-" + std::to_string(i + 1);
        plan.zone = i % 2 == 0 ? "khomas-a" : "khomas-b";
        plan.region = "khomas";
        plan.ip = net + ".1." + std::to_string(i + 1);
        vms.push_back(std::make_unique<Vm>(
                record, plan, options.program, options.folder, net + ".0.1:8382",
                std::map<std::string, std::string>{ { "khomas-a", "khomas" },
                                                    { "khomas-b", "khomas" } }));
    }
    if (!awaitReady(vms))
        return false;
    // From now on the VMs are in touch (stable_window, 4 s).
    std::this_thread::sleep_for(Millis(4500));
    record.line("all entry VMs are in touch");
    return true;
}

} // namespace rig
