// The query and command language of operators. Generate with `npm run generate`; the result is committed.

command
  = _ command:(show / rollout / leave / help) _ { return command }

show
  = "show" __ what:subject filters:where? { return { type: 'show', what, filters: filters ?? [] } }

subject "instances, entries, agents or revisions"
  = "instances" / "entries" / "agents" / "revisions"

where
  = __ "where" __ first:filter rest:(__ "and" __ @filter)* { return [first, ...rest] }

filter
  = field:field _ "=" _ value:name { return { field, value } }

field "zone, pool, version, state, lifecycle or instance"
  = "zone" / "pool" / "version" / "state" / "lifecycle" / "instance"

rollout
  = "rollout" __ pool:name __ "to" __ version:name options:(__ @option)* {
      return { type: 'rollout', pool, version, ...Object.assign({}, ...options) }
    }

option
  = "by" __ neededBy:time { return { neededBy } }
  / "waves" __ percent:integer _ "%" { return { switchFraction: percent / 100 } }
  / "copies" __ originCopies:integer { return { originCopies } }

leave
  = word:("drain" / "stop") __ instance:name incarnation:(__ "incarnation" __ @name)? lasting:(__ "lasting")? {
      return { type: 'leave', lifecycle: word === 'drain' ? 'draining' : 'stopped', instance, incarnation, lasting: lasting !== null }
    }

help
  = "help" { return { type: 'help' } }

name "a name"
  = $([a-zA-Z0-9] [a-zA-Z0-9._:-]*)

time "a time such as 2026-12-24T05:30Z"
  = $([0-9]|4| "-" [0-9]|2| "-" [0-9]|2| "T" [0-9]|2| ":" [0-9]|2| "Z")

integer "a number"
  = digits:$[0-9]+ { return Number(digits) }

_ "space" = [ \t\n\r]*
__ "space" = [ \t\n\r]+
