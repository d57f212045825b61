// Package scenario holds the scripted scenarios that run the real programs.
//
// A script is a txtar file under testdata. Besides the commands of testscript it has, with a fleet of its own:
//
//	fleet FILE [noapply]              start the fleet of the YAML file, apply all settings, wait until they are in force
//	process start|kill|pause|continue|stop NAME...    stop: SIGTERM, and wait for the end
//	ended NAME...                     these processes, and no others, have ended
//	link FROM TO [KEY=VALUE...]       delay, jitter, loss, duplicate, reorder, cut, one_way; without keys: a perfect link
//	break FROM TO                     reset the TCP connections; what was sent still arrives at the other side
//	rotation NAME...                  only these entries get callers' datagrams
//	platform [KEY=VALUE...]           faults of the platform stand-in; without keys: none
//	mode TARGET KEY=VALUE...          how a target behaves
//	apply SERVICE [FILE]              write the settings with further lines from FILE; sets $VERSION; with !: must fail
//	inforce SERVICE [WITHIN]          wait until $VERSION is in force everywhere; sets $TOOK_MS
//	ctl ARGS...                       run lacewingctl; its output is stdout
//	load start NAME FILE              start a load from a YAML file without addresses
//	load mark | stop | wait NAME
//	expect [-within D] LOAD SERVICE FIELD OP VALUE    on the report, such as: expect main a/b pool.connection_imbalance < 1.05
//	expect [-within D] LOAD faults == 0
//	stats [-within D] TARGET FIELD OP VALUE
//	now VAR                           set the variable to the time in milliseconds; a VALUE may be a sum, such as $VAR+3000
//	sleep D
//	metric [-within D] NODE[,NODE...] METRIC OP VALUE    the sum of a metric over nodes
//	let VAR LOAD SERVICE FIELD | stats TARGET FIELD | metric NODE[,NODE...] METRIC    keep a number for later comparisons
//	term NAME...                      SIGTERM, without waiting for the end
//	move AGENT PLACE                  the agent starts next at the addresses of the agent PLACE
//	take SERVICE FROM                 the service's settings and loads have the address of the service FROM from now on
//	frame KIND NODE SERVICE           send the node a frame that it must drop
package scenario
