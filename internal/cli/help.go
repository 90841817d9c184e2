package cli

import "github.com/alecthomas/kong"

// helpTexts are the help texts that are too long for a line of tags, by the names that stand there.
var helpTexts = kong.Vars{
	"help_serve":       "Serve as one instance: the same as with no arguments.",
	"help_check":       "Read a configuration (JSON) or an operator's file (INI) and say all that is wrong.",
	"help_allocator":   "Stand beside an upstream service, and lease its concurrency to the fleet.",
	"help_coordinator": "Hold the replicated state of the fleet, with the other coordinators.",
	"help_members":     "Show how a running process sees its fleet, and how far views differ.",
	"help_drill":       "Start many processes, inject faults by a script, and check invariants.",

	"help_log":      "Form of the log: text or json. Without it the operator's file says.",
	"help_operator": "Operator's file (INI).",

	"help_include_named": "Also read the keys, certificates and lists that an operator's file names.",
	"help_check_file":    "Configurations, which begin with a brace, or operator's files.",

	"help_request_operator": "Operator's file (INI) whose section [coordinator] names the coordinators and " +
		"whose [fleet] the keys.",
	"help_by":             "Who gives the command, as the history is to have it.",
	"help_bootstrap":      "Begin a new fleet: once, on one coordinator. Where there is a state it changes nothing.",
	"help_recover":        "The others are lost for good, with their disks: go on from this one's state alone.",
	"help_drain_zone":     "All that are up in a zone, one after the other as the budgets let them.",
	"help_drain_upstream": "The allocator beside an upstream service, so that the service can be taken out.",
	"help_cancel":         "Cancel what has been requested and has not begun.",
	"help_release_start":  "An INI with a section [release]: docs/operating/releases.md names all that may stand in it.",
	"help_fleet_status":   "Who is out, why and since when; budgets, permits and what each waits for.",
	"help_budgets":        "Put budgets in force, all of a file in place of all that were.",

	"help_members_file": "The process's operator's file; its section [fleet] has to name a status socket.",
	"help_against":      "Operator's files of further processes on this machine: say how far their views differ.",

	"help_drill_set":    "A value in place of the script's, as proxy.policy=random; may be given several times.",
	"help_drill_script": "The script, an INI: docs/operating/drills.md names all that may stand in it.",
	"help_drill_check":  "Only read the script, and print what would be done when.",

	"help_cert_authority": "Make an authority: FOLDER/authority.pem to publish, and its private key.",
	"help_cert_issue":     "Issue a certificate to a client, or with --server to an instance.",
	"help_cert_files":     "Files of the certificates; without any, the list is only written anew.",

	"help_keys_new":       "Make a key pair; the private half is written for its owner alone, and nothing is published.",
	"help_keys_publish":   "Publish the public half of a key, with the times between which it is valid.",
	"help_key_from":       "When it becomes valid: RFC 3339, or a time from now as 10m. Without it, always.",
	"help_key_until":      "When it stops being valid: RFC 3339, or a time from now as 720h. Without it, never.",
	"help_key_folder":     "Folder of the published keys, which instances read.",
	"help_token_operator": "Operator's file, whose keys and rules it is checked by.",
	"help_try_token":      "File with a token that the clients bring.",
	"help_token_show":     "Show what a token says and, with an operator's file, whether it is valid now.",

	"help_queue_check": "Try each broker: login, the queues, and what the file says of them.",
	"help_queue_watch": "Show the consumer of a running instance, as its status socket tells.",

	"help_try_rate":     "Requests a second, of all classes together.",
	"help_try_run_time": "What a run takes on average on one of the runtime's two cores.",
	"help_try_amqp":     "Send a third of the requests by a queue, with a fake of the broker.",
	"help_try_log":      "File for the instance's log; without it, a file that is removed if all went well.",
}
