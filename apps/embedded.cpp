#include "embedded.h"

#include <algorithm>

namespace whinpost::apps {

namespace {
std::vector<std::string> names_of(const std::vector<config::Group>& groups) {
    std::vector<std::string> out;
    for (const config::Group& g : groups) out.push_back(g.name);
    return out;
}
std::vector<QueueGroup> terms_of(const std::vector<config::Group>& groups) {
    std::vector<QueueGroup> out;
    for (const config::Group& g : groups) out.push_back(g.terms);
    return out;
}
}  // namespace

Embedded::Embedded(net::Loop& loop, const config::Named& me, const std::vector<config::Group>& groups,
                   const std::vector<MachineKind>& kinds, Acceptance accepts, ColdTerms cold,
                   const config::ListAt& at, LaunchTerms launches, Prices prices, intake::Limits limits,
                   link::Terms links, config::Dialling dials, config::Saying says, std::uint64_t seed,
                   std::uint64_t incarnation, const MakeLedger& make_ledger)
    : listen(me.listen), list(at.address), on_request(at.terms.on_request), log(says.level, says.form),
      names(names_of(groups)), intake(limits, groups.size()),
      ledger(make_ledger ? make_ledger(terms_of(groups), launches, cold)
                         : std::make_unique<ledger::Ledger>(terms_of(groups), launches, cold)),
      edge(loop, log, {me.name, incarnation, seed}, *ledger, intake, names, kinds.size(), links,
           dials.at_once, dials.a_second, !accepts.reports_use, cold.warm_after + cold.window),
      planner(edge, seed, me.zone, terms_of(groups), kinds, accepts, cold, at.terms, launches, prices) {
    edge.plan_with(planner);
}

std::unique_ptr<Embedded> Embedded::make(net::Loop& loop, config::Document& file, std::uint64_t seed,
                                         std::uint64_t incarnation, std::vector<std::string>& problems,
                                         const MakeLedger& make_ledger) {
    problems = config::check(file);
    if (!problems.empty()) return nullptr;
    config::Table root = file.root();
    const config::Named me = config::placer(root);
    const std::vector<MachineKind> kinds = config::machine_kinds(root);
    const std::vector<config::Group> groups = config::queue_groups(root, kinds.size());
    const Acceptance accepts = config::acceptance(root);
    const ColdTerms cold = config::cold_terms(root);
    const config::ListAt at = config::list_at(root);
    const LaunchTerms launches = config::launch_terms(root);
    const Prices prices = config::prices(root);
    const intake::Limits limits = config::intake_limits(root);
    const link::Terms links = config::link_terms(root);
    const config::Dialling dials = config::dialling(root);
    const config::Saying says = config::saying(root);
    return std::unique_ptr<Embedded>(new Embedded(loop, me, groups, kinds, accepts, cold, at, launches,
                                                  prices, limits, links, dials, says,
                                                  me.seed ? me.seed : seed, incarnation, make_ledger));
}

}  // namespace whinpost::apps
